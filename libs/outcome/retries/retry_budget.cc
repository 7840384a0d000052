#include "outcome/retries/retry_budget.h"

#include <algorithm>

namespace magnoliareel {

void RetryBudget::NoteRequest() {
  const std::lock_guard lock(mutex_);
  saved_ = std::min(saved_ + kRetriesPerRequest, kMaxSaved);
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
