#ifndef MAGNOLIAREEL_OUTCOME_RETRIES_RETRY_BUDGET_H_
#define MAGNOLIAREEL_OUTCOME_RETRIES_RETRY_BUDGET_H_

#include <mutex>

namespace magnoliareel {

/** Limits retries to a share of the traffic, so that retries during a failure
    don't multiply the load. Thread-safe.
*/
class RetryBudget {
 public:
  /** Retries that each request adds to the budget. */
  static constexpr double kRetriesPerRequest = 0.1;
  /** Maximum number of retries in the budget, which is also its initial
      value. */
  static constexpr double kMaxSavedRetries = 100;

  /** Records the first attempt of a request. */
  void RecordRequest();
  /** Takes one retry from the budget.

      @returns  false if the budget is exhausted
  */
  bool TryRetry();

 private:
  std::mutex mutex_;
  double saved_retries_ = kMaxSavedRetries;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_OUTCOME_RETRIES_RETRY_BUDGET_H_
