#include "gossip/commands/answered_commit_codec.h"

#include "gossip/fields/datagram_fields.h"

namespace magnoliareel {
namespace {

// First field of each datagram. It changes with the layout of the other fields.
constexpr std::string_view kQueryMagic = "mrw1";
constexpr std::string_view kResponseMagic = "mrv1";

}  // namespace

std::string EncodeAnsweredCommitQuery(const AnsweredCommitQuery& query) {
  return JoinFields({kQueryMagic, std::to_string(query.id),
                     query.reply_to.Format(), query.service.value});
}

bool DecodeAnsweredCommitQuery(std::string_view bytes,
                               AnsweredCommitQuery& out) {
  if (TakeField(bytes) != kQueryMagic ||
      !ParseDecimal(TakeField(bytes), out.id) ||
      !ParseSocketAddress(std::string(TakeField(bytes)), out.reply_to)) {
    return false;
  }
  out.service.value = TakeField(bytes);
  return !out.service.IsEmpty() && bytes.empty();
}

std::string EncodeAnsweredCommitResponse(
    const AnsweredCommitResponse& response) {
  std::string out = JoinFields(
      {kResponseMagic, std::to_string(response.id), response.vm.value});
  if (response.point) {
    out += " " + JoinFields({std::to_string(response.point->term.value),
                             std::to_string(response.point->position.value)});
  }
  return out;
}

bool DecodeAnsweredCommitResponse(std::string_view bytes,
                                  AnsweredCommitResponse& out) {
  if (TakeField(bytes) != kResponseMagic ||
      !ParseDecimal(TakeField(bytes), out.id)) {
    return false;
  }
  out.vm.value = TakeField(bytes);
  out.point.reset();
  if (out.vm.IsEmpty() || bytes.empty()) {
    return !out.vm.IsEmpty();
  }
  LogPoint& point = out.point.emplace();
  return ParseDecimal(TakeField(bytes), point.term.value) &&
         ParseDecimal(TakeField(bytes), point.position.value) && bytes.empty();
}

}  // namespace magnoliareel
