#ifndef MAGNOLIAREEL_CORE_TIME_VIRTUAL_CLOCK_H_
#define MAGNOLIAREEL_CORE_TIME_VIRTUAL_CLOCK_H_

#include "core/time/clock.h"

namespace magnoliareel {

/** A clock that moves only when told to. @see Clock */
class VirtualClock {
 public:
  /** @returns the present moment */
  TimePoint Now() const { return now_; }
  /** Moves the clock forward.

      @param span  how far; not negative
  */
  void Advance(Duration span) { now_ += span; }
  /** Moves the clock to a moment that is not in its past.

      @param moment  the new present
  */
  void AdvanceTo(TimePoint moment) {
    if (moment > now_) {
      now_ = moment;
    }
  }

 private:
  TimePoint now_{};
};

static_assert(Clock<VirtualClock>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_TIME_VIRTUAL_CLOCK_H_
