#include "outcome/retries/retry_budget.h"

#include <algorithm>

namespace magnoliareel {

void RetryBudget::RecordRequest() {
  const std::lock_guard lock(mutex_);
  saved_ = std::min(saved_ + kRetriesPerRequest, kMaxSavedRetries);
}

bool RetryBudget::TryRetry() {
  const std::lock_guard lock(mutex_);
  if (saved_ < 1) {
    return false;
  }
  saved_ -= 1;
  return true;
}

}  // namespace magnoliareel
