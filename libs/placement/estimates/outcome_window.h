#ifndef MAGNOLIAREEL_PLACEMENT_ESTIMATES_OUTCOME_WINDOW_H_
#define MAGNOLIAREEL_PLACEMENT_ESTIMATES_OUTCOME_WINDOW_H_

#include "placement/estimates/response_estimate.h"

namespace magnoliareel {

/** Numbers of statements that succeeded and failed lately; each loses half of
    its weight within kEstimateHalfLife. */
class OutcomeWindow {
 public:
  /** Records the outcome of a statement. */
  void Record(bool has_failed, TimePoint now);
  /** Forgets all outcomes. */
  void Clear() { *this = {}; }
  /** @returns the weighted number of successes */
  double GetSuccesses(TimePoint now) const {
    return successes_ * GetRemainingWeight(now - updated_at_);
  }
  /** @returns the weighted number of failures */
  double GetFailures(TimePoint now) const {
    return failures_ * GetRemainingWeight(now - updated_at_);
  }

 private:
  double successes_ = 0;
  double failures_ = 0;
  TimePoint updated_at_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_PLACEMENT_ESTIMATES_OUTCOME_WINDOW_H_
