#ifndef MAGNOLIAREEL_CORE_TIME_CLOCK_H_
#define MAGNOLIAREEL_CORE_TIME_CLOCK_H_

#include <chrono>
#include <concepts>

namespace magnoliareel {

/** A span of local monotonic time. */
using Duration = std::chrono::microseconds;
/** A moment of local monotonic time; means nothing on another VM. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** A source of local monotonic time.

    @see SteadyClock, VirtualClock
*/
template <class T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_TIME_CLOCK_H_
