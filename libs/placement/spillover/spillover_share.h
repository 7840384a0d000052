#ifndef MAGNOLIAREEL_PLACEMENT_SPILLOVER_SPILLOVER_SHARE_H_
#define MAGNOLIAREEL_PLACEMENT_SPILLOVER_SPILLOVER_SHARE_H_

#include "core/core.h"

namespace magnoliareel {

/** The share of the reads that leaves a level of distance, because its
   endpoints cannot serve all within a bound. It rises at once and falls slowly.
 */
class SpilloverShare {
 public:
  /** Adapts the share.

      @param expected  time that the level needs for one more read
      @param bound     time that it may need
      @param now       the current time
  */
  void Update(Duration expected, Duration bound, TimePoint now);

  /** @returns the share of the reads that leaves, between 0 and 1 */
  double Get() const { return share_; }

 private:
  double share_ = 0;
  // Mean of the expected times of the latest reads.
  double expected_us_ = 0;
  TimePoint updated_at_;
  // Share and expected time at the start of the interval of the last rise.
  double base_ = 0;
  double base_expected_us_ = 0;
  TimePoint base_at_;
  TimePoint fell_at_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_PLACEMENT_SPILLOVER_SPILLOVER_SHARE_H_
