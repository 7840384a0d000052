#include "placement/estimates/outcome_window.h"

namespace magnoliareel {

void OutcomeWindow::Record(bool has_failed, TimePoint now) {
  const double weight = GetRemainingWeight(now - updated_at_);
  successes_ = successes_ * weight + (has_failed ? 0 : 1);
  failures_ = failures_ * weight + (has_failed ? 1 : 0);
  updated_at_ = now;
}

}  // namespace magnoliareel
