#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_FORWARDED_COMMAND_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_FORWARDED_COMMAND_H_

#include <concepts>
#include <cstdint>
#include <string_view>
#include <system_error>

#include "control/failover/endpoint_commands.h"
#include "core/core.h"
#include "directory/directory.h"
#include "settings/settings.h"

namespace magnoliareel {

/** Asks another VM to send a command to an endpoint. It may arrive more than
    once, so only commands that can be repeated are forwarded. */
struct ForwardedCommand {
  /** Number that the sender assigns, to match the response. */
  uint64_t id = 0;
  /** Address for the response. */
  SocketAddress reply_to;
  EndpointId endpoint;
  EndpointCommand command;
  /** Time that the other VM waits for the endpoint, at most
      kLateDemotionTimeout. */
  Duration timeout{};

  bool operator==(const ForwardedCommand&) const = default;
};

/** How a forwarded command ended at the other VM.
    @see EndpointCommandCompletion */
enum class ForwardedCommandResult {
  /** The endpoint answered with its status. */
  kAnswered,
  /** The endpoint had no free slot. */
  kBusy,
  /** Nothing was sent. */
  kNotSent,
  /** The endpoint may still execute the command. */
  kAnswerLost,
  /** The endpoint does not run. */
  kStopped,
};

/** @param ec  result of a command
    @returns    the same for the VM that has forwarded it */
inline ForwardedCommandResult GetForwardedResult(const std::error_code& ec) {
  return !ec                             ? ForwardedCommandResult::kAnswered
         : ec == Error::kOverloaded      ? ForwardedCommandResult::kBusy
         : ec == Error::kAnswerLost      ? ForwardedCommandResult::kAnswerLost
         : ec == Error::kEndpointStopped ? ForwardedCommandResult::kStopped
                                         : ForwardedCommandResult::kNotSent;
}

/** @param result  how a command ended
    @returns        its name in logs */
constexpr std::string_view GetForwardedResultName(
    ForwardedCommandResult result) {
  switch (result) {
    case ForwardedCommandResult::kAnswered:
      return "answered";
    case ForwardedCommandResult::kBusy:
      return "busy";
    case ForwardedCommandResult::kNotSent:
      return "not_sent";
    case ForwardedCommandResult::kAnswerLost:
      return "answer_lost";
    case ForwardedCommandResult::kStopped:
      return "stopped";
  }
  return "not_sent";
}

/** Answers a ForwardedCommand. */
struct ForwardedCommandResponse {
  /** @see ForwardedCommand::id */
  uint64_t id = 0;
  /** The VM that sends the response. */
  VmId vm;
  ForwardedCommandResult result = ForwardedCommandResult::kNotSent;
  /** Valid for kAnswered. */
  ReplicationStatus status;
};

/** Sends forwarded commands and their responses to other VMs. Messages may be
    lost, late or repeated. */
template <class N>
concept ForwardedCommandChannel =
    requires(N& channel,
             const SocketAddress& to,
             const ForwardedCommand& command,
             const ForwardedCommandResponse& response) {
  channel.ForwardCommand(to, command);
  channel.AnswerForwardedCommand(to, response);
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_FORWARDED_COMMAND_H_
