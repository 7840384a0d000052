#include "gossip/commands/forwarded_command_codec.h"

#include <algorithm>
#include <array>
#include <cstdint>

#include "gossip/fields/datagram_fields.h"

namespace magnoliareel {
namespace {

// First field of each datagram. It changes with the layout of the other fields.
constexpr Word kCommandMagic = "mrc1";
constexpr Word kResponseMagic = "mrs1";

constexpr auto kResults = std::to_array(
    {ForwardedCommandResult::kAnswered, ForwardedCommandResult::kBusy,
     ForwardedCommandResult::kNotSent, ForwardedCommandResult::kAnswerLost,
     ForwardedCommandResult::kStopped});

bool DecodeFlag(std::string_view text, bool& out) {
  out = text == "1";
  return out || text == "0";
}

}  // namespace

std::string EncodeForwardedCommand(const ForwardedCommand& command) {
  const bool is_demotion = command.command.kind == EndpointCommandKind::kDemote;
  const Duration timeout = std::max(Duration(0), command.timeout);
  return JoinFields({kCommandMagic, Word(std::to_string(command.id)),
                     Word(command.reply_to.Format()),
                     Word(command.endpoint.value),
                     is_demotion ? Word("d") : Word("r"),
                     Word(std::to_string(command.command.term.value)),
                     Word(std::to_string(timeout.count()))});
}

bool DecodeForwardedCommand(std::string_view bytes, ForwardedCommand& out) {
  if (TakeField(bytes) != kCommandMagic.GetText() ||
      !ParseDecimal(TakeField(bytes), out.id) ||
      !ParseSocketAddress(std::string(TakeField(bytes)), out.reply_to)) {
    return false;
  }
  if (!TakeWord(bytes, out.endpoint.value)) {
    return false;
  }
  const std::string_view kind = TakeField(bytes);
  out.command.kind =
      kind == "d" ? EndpointCommandKind::kDemote : EndpointCommandKind::kReport;
  return (kind == "d" || kind == "r") &&
         ParseDecimal(TakeField(bytes), out.command.term.value) &&
         DecodeDuration(TakeField(bytes), out.timeout) && bytes.empty();
}

std::string EncodeForwardedCommandResponse(
    const ForwardedCommandResponse& response) {
  const ReplicationStatus& status = response.status;
  const auto result =
      std::find(kResults.begin(), kResults.end(), response.result) -
      kResults.begin();
  return JoinFields(
      {kResponseMagic, Word(std::to_string(response.id)),
       Word(response.vm.value), Word(std::to_string(result)),
       status.is_primary ? Word("1") : Word("0"),
       Word(std::to_string(status.term.value)),
       Word(std::to_string(status.received.term.value)),
       Word(std::to_string(status.received.position.value)),
       Word(std::to_string(status.paused_at.value)),
       Word(std::to_string(std::max(Duration(0), status.lag).count()))});
}

bool DecodeForwardedCommandResponse(std::string_view bytes,
                                    ForwardedCommandResponse& out) {
  uint64_t result = 0;
  if (TakeField(bytes) != kResponseMagic.GetText() ||
      !ParseDecimal(TakeField(bytes), out.id)) {
    return false;
  }
  if (!TakeWord(bytes, out.vm.value) ||
      !ParseDecimal(TakeField(bytes), result) || result >= kResults.size()) {
    return false;
  }
  out.result = kResults[result];
  ReplicationStatus& status = out.status;
  return DecodeFlag(TakeField(bytes), status.is_primary) &&
         ParseDecimal(TakeField(bytes), status.term.value) &&
         ParseDecimal(TakeField(bytes), status.received.term.value) &&
         ParseDecimal(TakeField(bytes), status.received.position.value) &&
         ParseDecimal(TakeField(bytes), status.paused_at.value) &&
         DecodeDuration(TakeField(bytes), status.lag) && bytes.empty();
}

}  // namespace magnoliareel
