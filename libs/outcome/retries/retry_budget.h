#ifndef MAGNOLIAREEL_OUTCOME_RETRIES_RETRY_BUDGET_H_
#define MAGNOLIAREEL_OUTCOME_RETRIES_RETRY_BUDGET_H_

#include <mutex>

namespace magnoliareel {

/** Keeps retries to a share of the traffic, so that a fault does not multiply
    the load. Used from several threads.
*/
class RetryBudget {
 public:
  /** Retries earned by each request. */
  static constexpr double kRetriesPerRequest = 0.1;
  /** Most retries that can be saved up. */
  static constexpr double kMaxSavedRetries = 100;

  /** Notes a first attempt. */
  void RecordRequest();
  /** @returns true if a retry is within the budget; it is then counted */
  bool TryRetry();

 private:
  std::mutex mutex_;
  double saved_ = kMaxSavedRetries;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_OUTCOME_RETRIES_RETRY_BUDGET_H_
