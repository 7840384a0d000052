#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_TIMER_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_TIMER_H_

#include <cstdint>

#include "core/core.h"

namespace magnoliareel {

/** What is done when a timer of the traffic core expires. */
enum class TimerKind {
  kStatementDeadline,
  kSlowStatement,
  kStatementRetry,
  kConnectTimeout,
  kAbandonedTimeout,
  kReturnTimeout,
  kIdleCheck,
  kTransactionIdle,
  kPoolRetry,
  kPrimaryReview,
  kPeerBoundTimeout,
  kDrainingUseLimit,
  kCommitHoldEnd,
  kDrain,
  kPermitWake,
};

/** A timer of the traffic core. */
struct Timer {
  TimePoint at;
  TimerKind kind = TimerKind::kStatementDeadline;
  /** Id of the session or connection, or 0. */
  uint64_t subject = 0;
  /** Id of the statement, or 0. */
  uint64_t statement_id = 0;
  EndpointId endpoint;
  bool operator>(const Timer& other) const { return at > other.at; }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_TIMER_H_
