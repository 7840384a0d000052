#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_ENDPOINT_COMMANDS_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_ENDPOINT_COMMANDS_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <string_view>
#include <system_error>

#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** Timeout of a command to an endpoint. It covers a new connection and a
    statement between regions, twice, with busy slots. */
inline constexpr Duration kEndpointCommandTimeout =
    std::chrono::milliseconds(600);

/** Longest timeout of a demotion of a primary that answers late. */
inline constexpr Duration kLateDemotionTimeout =
    std::chrono::milliseconds(2000);

/** Kind of a command to an endpoint. The endpoint answers each command with its
    replication status. */
enum class EndpointCommandKind {
  /** Only returns the status. */
  kReport,
  /** Stops receiving the log from the primary. */
  kPause,
  /** Receives the log again. */
  kResume,
  /** Becomes a replica, unless it is primary in the command's term or a later
      one. It acknowledges no commit from then on. */
  kDemote,
};

/** @param kind  the kind of command
    @returns      its name in logs
*/
constexpr std::string_view GetEndpointCommandName(EndpointCommandKind kind) {
  switch (kind) {
    case EndpointCommandKind::kReport:
      return "report";
    case EndpointCommandKind::kPause:
      return "pause";
    case EndpointCommandKind::kResume:
      return "resume";
    case EndpointCommandKind::kDemote:
      return "demote";
  }
  return "report";
}

/** A command with its argument. */
struct EndpointCommand {
  EndpointCommandKind kind = EndpointCommandKind::kReport;
  /** Term of kPause and kDemote, above every term that the endpoint knows. */
  Term term;

  bool operator==(const EndpointCommand&) const = default;
};

/** Called with the result of a command: the endpoint's status, or
    Error::kOverloaded if the endpoint had no free slot, Error::kEndpointStopped
    if its host refused the connection or another endpoint uses its address,
    Error::kUnreachable if no connection could be opened, Error::kAnswerLost if
    it was opened and the endpoint did not answer in time: it runs, and may
    still execute the command. */
using EndpointCommandCompletion =
    std::function<void(std::error_code, const ReplicationStatus&)>;

/** Sends commands to endpoints. */
template <class O>
concept EndpointCommandSender = requires(O& commands,
                                         const EndpointEntry& endpoint,
                                         const EndpointCommand& command,
                                         Duration timeout,
                                         EndpointCommandCompletion done) {
  commands.Send(endpoint, command, timeout, done);
};

/** Orders promotions at the platform.

    The completion receives success, Error::kSuperseded if a newer fencing token
    was used or the endpoint is not running, Error::kOverloaded,
    Error::kUnreachable if nothing was sent, or Error::kAnswerLost if the
    promotion may still be executed. */
template <class P>
concept PromotionSender = requires(P& promotions,
                                   const ServiceId& service,
                                   const EndpointId& endpoint,
                                   uint64_t fencing_token,
                                   std::function<void(std::error_code)> done) {
  promotions.Promote(service, endpoint, fencing_token, done);
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_ENDPOINT_COMMANDS_H_
