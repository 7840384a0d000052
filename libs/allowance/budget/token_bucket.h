#ifndef MAGNOLIAREEL_ALLOWANCE_BUDGET_TOKEN_BUCKET_H_
#define MAGNOLIAREEL_ALLOWANCE_BUDGET_TOKEN_BUCKET_H_

#include <algorithm>
#include <cstdint>

#include "core/core.h"

namespace magnoliareel {

/** Rate and capacity of a token bucket. */
struct BucketRules {
  /** Permits that are added in a second. */
  double rate_per_s = 0;
  /** Permits that the bucket holds at most. */
  double depth = 0;

  bool operator==(const BucketRules&) const = default;
};

/** A token bucket that starts empty, so that a process that starts anew, or
   gets a part of a budget from another one, issues nothing twice. In any
   period, it issues at most its depth plus its rate times the period. */
class TokenBucket {
 public:
  /** @param rules  rate and capacity
      @param now    time from which permits are added */
  TokenBucket(const BucketRules& rules, TimePoint now)
      : rules_(rules), refilled_at_(now) {}

  /** Changes rate and capacity; permits beyond the new capacity are dropped. */
  void SetRules(const BucketRules& rules, TimePoint now) {
    Refill(now);
    rules_ = rules;
    tokens_ = std::min(tokens_, rules_.depth);
  }
  /** @returns the whole permits that the bucket holds */
  uint32_t Count(TimePoint now) {
    Refill(now);
    return static_cast<uint32_t>(std::max(0.0, tokens_ + kRounding));
  }
  /** Takes permits.

      @param n    wanted number
      @param now  the current time
      @returns    the number that was taken, at most `n` */
  uint32_t Take(uint32_t n, TimePoint now) {
    const uint32_t taken = std::min(n, Count(now));
    // What was rounded up is owed, so that roundings do not add up.
    tokens_ -= taken;
    return taken;
  }

 private:
  // Sums of fractions may be a little less than the whole number.
  static constexpr double kRounding = 1e-6;

  void Refill(TimePoint now) {
    if (now <= refilled_at_) {
      return;
    }
    const double seconds =
        std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(rules_.depth, tokens_ + rules_.rate_per_s * seconds);
    refilled_at_ = now;
  }

  BucketRules rules_;
  double tokens_ = 0;
  TimePoint refilled_at_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ALLOWANCE_BUDGET_TOKEN_BUCKET_H_
