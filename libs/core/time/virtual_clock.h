#ifndef MAGNOLIAREEL_CORE_TIME_VIRTUAL_CLOCK_H_
#define MAGNOLIAREEL_CORE_TIME_VIRTUAL_CLOCK_H_

#include "core/time/clock.h"

namespace magnoliareel {

/** A clock that only advances when its owner advances it.

    @see Clock, ManualExecutor
*/
class VirtualClock {
 public:
  /** @returns the current time */
  TimePoint Now() const { return now_; }
  /** Advances the clock.

      @param duration  time to advance by; not negative
  */
  void Advance(Duration duration) { now_ += duration; }
  /** Advances the clock to a given time. Has no effect if that is in the past.

      @param time  the new current time
  */
  void AdvanceTo(TimePoint time) {
    if (time > now_) {
      now_ = time;
    }
  }

 private:
  TimePoint now_{};
};

static_assert(Clock<VirtualClock>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_TIME_VIRTUAL_CLOCK_H_
