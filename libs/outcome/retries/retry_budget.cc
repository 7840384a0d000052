#include "outcome/retries/retry_budget.h"

#include <algorithm>

namespace magnoliareel {

void RetryBudget::RecordRequest() {
  const std::lock_guard lock(mutex_);
  saved_retries_ =
      std::min(saved_retries_ + kRetriesPerRequest, kMaxSavedRetries);
}

bool RetryBudget::TryRetry() {
  const std::lock_guard lock(mutex_);
  if (saved_retries_ < 1) {
    return false;
  }
  saved_retries_ -= 1;
  return true;
}

}  // namespace magnoliareel
