#ifndef MAGNOLIAREEL_CORE_TIME_CLOCK_H_
#define MAGNOLIAREEL_CORE_TIME_CLOCK_H_

#include <chrono>
#include <concepts>

namespace magnoliareel {

/** A duration in microseconds. */
using Duration = std::chrono::microseconds;
/** A point in the local monotonic time of a VM; not comparable between VMs. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** A clock that returns local monotonic time.

    @see SteadyClock, VirtualClock
*/
template <class T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_TIME_CLOCK_H_
