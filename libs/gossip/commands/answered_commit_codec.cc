#include "gossip/commands/answered_commit_codec.h"

#include "gossip/fields/datagram_fields.h"

namespace magnoliareel {
namespace {

// First field of each datagram. It changes with the layout of the other fields.
constexpr Word kQueryMagic = "mrw1";
constexpr Word kResponseMagic = "mrv1";

}  // namespace

std::string EncodeAnsweredCommitQuery(const AnsweredCommitQuery& query) {
  return JoinFields({kQueryMagic, Word(std::to_string(query.id)),
                     Word(query.reply_to.Format()), Word(query.service.value)});
}

bool DecodeAnsweredCommitQuery(std::string_view bytes,
                               AnsweredCommitQuery& out) {
  if (TakeField(bytes) != kQueryMagic.GetText() ||
      !ParseDecimal(TakeField(bytes), out.id) ||
      !ParseSocketAddress(std::string(TakeField(bytes)), out.reply_to)) {
    return false;
  }
  return TakeWord(bytes, out.service.value) && bytes.empty();
}

std::string EncodeAnsweredCommitResponse(
    const AnsweredCommitResponse& response) {
  std::string out =
      JoinFields({kResponseMagic, Word(std::to_string(response.id)),
                  Word(response.vm.value)});
  if (response.point) {
    out += " " +
           JoinFields({Word(std::to_string(response.point->term.value)),
                       Word(std::to_string(response.point->position.value))});
  }
  return out;
}

bool DecodeAnsweredCommitResponse(std::string_view bytes,
                                  AnsweredCommitResponse& out) {
  if (TakeField(bytes) != kResponseMagic.GetText() ||
      !ParseDecimal(TakeField(bytes), out.id)) {
    return false;
  }
  out.point.reset();
  if (!TakeWord(bytes, out.vm.value)) {
    return false;
  }
  if (bytes.empty()) {
    return true;
  }
  LogPoint& point = out.point.emplace();
  return ParseDecimal(TakeField(bytes), point.term.value) &&
         ParseDecimal(TakeField(bytes), point.position.value) && bytes.empty();
}

}  // namespace magnoliareel
