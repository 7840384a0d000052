#ifndef MAGNOLIAREEL_RELAY_CORE_LOG_RATE_LIMITER_H_
#define MAGNOLIAREEL_RELAY_CORE_LOG_RATE_LIMITER_H_

#include <algorithm>
#include <cstdint>

#include "core/core.h"

namespace magnoliareel {

/** Limits the number of log lines per second, with bursts of up to one second's
    lines. */
class LogRateLimiter {
 public:
  /** @param lines_per_second  the limit */
  explicit LogRateLimiter(int64_t lines_per_second)
      : rate_(lines_per_second), tokens_(lines_per_second * 1000000) {}

  /** Uses up one line if the limit allows it.

      @param now  the current time
      @returns    true if a line may be written now
  */
  bool Take(TimePoint now) {
    if (last_ != TimePoint{}) {
      const int64_t elapsed = std::min<int64_t>((now - last_).count(), 1000000);
      tokens_ = std::min(tokens_ + elapsed * rate_, rate_ * 1000000);
    }
    last_ = now;
    if (tokens_ < 1000000) {
      return false;
    }
    tokens_ -= 1000000;
    return true;
  }

 private:
  int64_t rate_;
  // Millionths of a line.
  int64_t tokens_;
  TimePoint last_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_LOG_RATE_LIMITER_H_
