#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_ENDPOINT_ORDERS_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_ENDPOINT_ORDERS_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <string_view>
#include <system_error>

#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** What an endpoint is ordered to do; each is answered with its standing. */
enum class OrderKind {
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
constexpr std::string_view OrderName(OrderKind kind) {
  switch (kind) {
    case OrderKind::kReport:
      return "report";
    case OrderKind::kPause:
      return "pause";
    case OrderKind::kResume:
      return "resume";
  }
  return "report";
}

/** An order to one endpoint. */
struct EndpointOrder {
  OrderKind kind = OrderKind::kReport;
  /** kPause: above every term that the endpoint knows. */
  Term term;
};

/** Told of an order's end: the standing, or Error::kOverloaded if the endpoint
    had no slot, Error::kUnreachable if it could not be connected,
    Error::kAnswerLost if the order may be carried out later. */
using OrderCompletion =
    std::function<void(std::error_code, const EndpointStanding&)>;

/** Sends orders to endpoints. */
template <class O>
concept EndpointOrders = requires(O& orders,
                                  const EndpointEntry& endpoint,
                                  const EndpointOrder& order,
                                  Duration timeout,
                                  OrderCompletion done) {
  orders.Send(endpoint, order, timeout, done);
};

/** Orders promotions at the platform; told of success, Error::kSuperseded if a
    newer fencing token was used or the endpoint does not run,
    Error::kOverloaded, Error::kUnreachable if nothing was sent, or
    Error::kAnswerLost if it may yet be carried out. */
template <class P>
concept PromotionOrders = requires(P& promotions,
                                   const ServiceId& service,
                                   const EndpointId& endpoint,
                                   uint64_t fencing_token,
                                   std::function<void(std::error_code)> done) {
  promotions.Promote(service, endpoint, fencing_token, done);
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_ENDPOINT_ORDERS_H_
