#ifndef MAGNOLIAREEL_POOLER_CORE_POOLER_EVENTS_H_
#define MAGNOLIAREEL_POOLER_CORE_POOLER_EVENTS_H_

#include <functional>
#include <string>
#include <system_error>

#include "core/core.h"
#include "failover/failover.h"

namespace magnoliareel {

/** Callbacks for the events of a pooler, for logs; every member is set. */
struct PoolerEvents {
  /** The primary of a new term of a group is known. */
  std::function<void(const GroupId&, const PrimaryView&)> on_primary;
  /** An endpoint became reachable or unreachable. */
  std::function<void(const EndpointId&, bool is_reachable)> on_reachability;
  /** An endpoint reports that it is leaving. */
  std::function<void(const EndpointId&)> on_leaving;
  /** A promotion has started. */
  std::function<void(const GroupId&, Term, PromotionReason)>
      on_promotion_started;
  /** A promotion has ended; receives its result and its duration. */
  std::function<void(const GroupId&, const PromotionResult&, Duration)>
      on_promotion_ended;
  /** A grant was requested; receives the error, or an empty code. */
  std::function<void(const GroupId&, std::error_code)> on_grant;
  /** The pooler rolled back a transaction. */
  std::function<void(const TransactionId&, std::string_view reason)>
      on_rollback;
  /** A write ran but was not acknowledged within its deadline. */
  std::function<void(const GroupId&, LogPoint)> on_ack_missed;

  /** @returns callbacks that ignore every event */
  static PoolerEvents Ignore() {
    return {[](const auto&, const auto&) {},
            [](const auto&, bool) {},
            [](const auto&) {},
            [](const auto&, Term, PromotionReason) {},
            [](const auto&, const auto&, Duration) {},
            [](const auto&, std::error_code) {},
            [](const auto&, std::string_view) {},
            [](const auto&, LogPoint) {}};
  }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_CORE_POOLER_EVENTS_H_
