#ifndef MAGNOLIAREEL_POOLER_CORE_POOLER_EVENTS_H_
#define MAGNOLIAREEL_POOLER_CORE_POOLER_EVENTS_H_

#include <functional>
#include <string>
#include <system_error>

#include "core/core.h"
#include "failover/failover.h"

namespace magnoliareel {

/** What a pooler tells its process about, for logs; every member is set. */
struct PoolerEvents {
  /** A group's primary of a new term is known. */
  std::function<void(const GroupId&, const PrimaryView&)> on_primary;
  /** An endpoint began or ceased to answer. */
  std::function<void(const EndpointId&, bool is_reachable)> on_reachability;
  /** An endpoint reports that it leaves. */
  std::function<void(const EndpointId&)> on_leaving;
  /** A promotion begins. */
  std::function<void(const GroupId&, Term, PromotionReason)>
      on_promotion_started;
  /** A promotion has ended. */
  std::function<void(const GroupId&, const PromotionResult&, Duration)>
      on_promotion_ended;
  /** A grant was asked for. */
  std::function<void(const GroupId&, std::error_code)> on_grant;
  /** A transaction was rolled back by the pooler. */
  std::function<void(const TransactionId&, std::string_view reason)>
      on_rollback;
  /** A write was not acknowledged within its deadline. */
  std::function<void(const GroupId&, LogPoint)> on_ack_missed;

  /** @returns events that go nowhere */
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
