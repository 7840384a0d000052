#ifndef MAGNOLIAREEL_CONTROL_FLEET_SHUTDOWN_SEQUENCE_H_
#define MAGNOLIAREEL_CONTROL_FLEET_SHUTDOWN_SEQUENCE_H_

#include "core/core.h"

namespace magnoliareel {

/** What a stopping process does next. @see ShutdownSequence */
struct ShutdownDecision {
  /** It still accepts callers. */
  bool accept_callers = true;
  /** It ends now. */
  bool exit_now = false;
};

/** Paces the end of a process between SIGTERM and the moment at which it would
    be killed.

    Callers are sent here for a moment after the first "not ready", so the
    process goes on accepting them; it ends when no session is left, and at the
    latest before it is killed.
*/
class ShutdownSequence {
 public:
  /** How often Decide() is asked. */
  static constexpr Duration kPollInterval = std::chrono::milliseconds(50);
  /** The platform sends new connections until two of its probes, one a second,
      were missed. */
  static constexpr Duration kMinDuration = std::chrono::milliseconds(2300);

  /** @param began_at  when SIGTERM arrived
      @param grace     from then until the process is killed
  */
  ShutdownSequence(TimePoint began_at, Duration grace)
      : began_at_(began_at), grace_(grace) {}

  /** @param now       the present moment
      @param sessions  callers' sessions that remain
      @returns         what to do
  */
  ShutdownDecision Decide(TimePoint now, size_t sessions) const {
    const Duration elapsed = now - began_at_;
    ShutdownDecision decision;
    // A caller that came later could not be answered before the end.
    decision.accept_callers = elapsed < grace_ * 2 / 3;
    decision.exit_now =
        (sessions == 0 && elapsed >= kMinDuration) || elapsed >= grace_ * 5 / 6;
    return decision;
  }

  /** @returns how long open transactions may go on: the first half of the grace
      (users' rules) */
  Duration GetTransactionGracePeriod() const { return grace_ / 2; }
  /** @returns how long statements may wait: until shortly before the end, which
      leaves time for their callers to read the answers */
  Duration GetStatementGracePeriod() const { return grace_ * 3 / 4; }

 private:
  TimePoint began_at_;
  Duration grace_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FLEET_SHUTDOWN_SEQUENCE_H_
