#ifndef MAGNOLIAREEL_CONTROL_FLEET_SHUTDOWN_SEQUENCE_H_
#define MAGNOLIAREEL_CONTROL_FLEET_SHUTDOWN_SEQUENCE_H_

#include "core/core.h"

namespace magnoliareel {

/** Next step of a process that shuts down. @see ShutdownSequence */
struct ShutdownDecision {
  /** The process still accepts callers. */
  bool accept_callers = true;
  /** The process exits now. */
  bool exit_now = false;
};

/** Schedules the shutdown of a process between SIGTERM and the moment at which
    the platform kills it.

    The platform routes new callers to the process for a short time after the
    first failed readiness probe, so the process continues to accept them. It
    exits when no session is left, and at the latest before it is killed.
*/
class ShutdownSequence {
 public:
  /** Interval at which Decide() is called. */
  static constexpr Duration kPollInterval = std::chrono::milliseconds(50);
  /** The process runs at least this long after SIGTERM: the platform routes new
      connections to it until two readiness probes, one a second, have
      failed. */
  static constexpr Duration kMinDuration = std::chrono::milliseconds(2300);

  /** @param began_at      time of SIGTERM
      @param grace_period  time from then until the process is killed
  */
  ShutdownSequence(TimePoint began_at, Duration grace_period)
      : began_at_(began_at), grace_period_(grace_period) {}

  /** @param now       the current time
      @param sessions  number of open caller sessions
      @returns         the next step
  */
  ShutdownDecision Decide(TimePoint now, size_t sessions) const {
    const Duration elapsed = now - began_at_;
    ShutdownDecision decision;
    // A caller that connects later could not be answered before the exit.
    decision.accept_callers = elapsed < GetStatementPeriod();
    decision.exit_now = (sessions == 0 && elapsed >= kMinDuration) ||
                        elapsed >= grace_period_ * 11 / 12;
    return decision;
  }

  /** @returns the time after SIGTERM for which open transactions may continue:
      the first half of the grace period (platform documentation) */
  Duration GetTransactionPeriod() const { return grace_period_ / 2; }
  /** @returns the time after SIGTERM for which statements are sent to
     endpoints. What remains is longer than nearly all statements take. */
  Duration GetStatementPeriod() const { return grace_period_ * 2 / 3; }
  /** @returns the time after SIGTERM for which statements at endpoints may be
      answered. It ends before the exit, so that callers have time to read the
      answers. */
  Duration GetAnswerPeriod() const { return grace_period_ * 7 / 8; }

 private:
  TimePoint began_at_;
  Duration grace_period_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FLEET_SHUTDOWN_SEQUENCE_H_
