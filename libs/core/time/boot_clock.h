#ifndef MAGNOLIAREEL_CORE_TIME_BOOT_CLOCK_H_
#define MAGNOLIAREEL_CORE_TIME_BOOT_CLOCK_H_

#include <ctime>

#include "core/time/clock.h"

namespace magnoliareel {

/** A monotonic clock that also counts the time during which the VM was
    suspended, so that ages measured with it are never too low.

    @see Clock, SteadyClock
*/
class BootClock {
 public:
  /** @returns the current time */
  TimePoint Now() const {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(
        Duration(int64_t{time.tv_sec} * 1000000 + time.tv_nsec / 1000));
  }
};

static_assert(Clock<BootClock>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_TIME_BOOT_CLOCK_H_
