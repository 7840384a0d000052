#ifndef MAGNOLIAREEL_CORE_TIME_BOOT_CLOCK_H_
#define MAGNOLIAREEL_CORE_TIME_BOOT_CLOCK_H_

#include <ctime>

#include "core/time/clock.h"

namespace magnoliareel {

/** The VM's monotonic clock that also counts the time during which the VM was
    suspended, so that the age of a fact is never understated.

    @see Clock, SteadyClock
*/
class BootClock {
 public:
  /** @returns the present moment */
  TimePoint Now() const {
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return TimePoint(
        Duration(int64_t{ts.tv_sec} * 1000000 + ts.tv_nsec / 1000));
  }
};

static_assert(Clock<BootClock>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_TIME_BOOT_CLOCK_H_
