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

/** What an endpoint is ordered to do; each is answered with its status. */
enum class EndpointCommandKind {
  /** Only report. */
  kReport,
  /** Receive nothing further from the primary. */
  kPause,
  /** Receive again. */
  kResume,
};

/** @param kind  any
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
  }
  return "report";
}

/** An order to one endpoint. */
struct EndpointCommand {
  EndpointCommandKind kind = EndpointCommandKind::kReport;
  /** kPause: above every term that the endpoint knows. */
  Term term;
};

/** Told of an order's end: the status, or Error::kOverloaded if the endpoint
    had no slot, Error::kUnreachable if it could not be connected,
    Error::kAnswerLost if the order may be carried out later. */
using EndpointCommandCompletion =
    std::function<void(std::error_code, const ReplicationStatus&)>;

/** Sends orders to endpoints. */
template <class O>
concept EndpointCommandSender = requires(O& orders,
                                         const EndpointEntry& endpoint,
                                         const EndpointCommand& order,
                                         Duration timeout,
                                         EndpointCommandCompletion done) {
  orders.Send(endpoint, order, timeout, done);
};

/** Orders promotions at the platform; told of success, Error::kSuperseded if a
    newer fencing token was used or the endpoint does not run,
    Error::kOverloaded, Error::kUnreachable if nothing was sent, or
    Error::kAnswerLost if it may yet be carried out. */
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
