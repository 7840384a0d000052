#ifndef MAGNOLIAREEL_CORE_TIME_STEADY_CLOCK_H_
#define MAGNOLIAREEL_CORE_TIME_STEADY_CLOCK_H_

#include "core/time/clock.h"

namespace magnoliareel {

/** The VM's monotonic clock, which stops while the VM is suspended.

    @see Clock, BootClock
*/
class SteadyClock {
 public:
  /** @returns the current time */
  TimePoint Now() const {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }
};

static_assert(Clock<SteadyClock>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_TIME_STEADY_CLOCK_H_
