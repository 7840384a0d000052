#include <random>

#include "outcome/outcome.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

TEST_GROUP(Classification){};

TEST(Classification, ReportsNotRunOnlyWhenCertain) {
  CHECK(ClassifyCall({Error::kUnreachable, {}}) == Outcome::kNotRun);
  CHECK(ClassifyCall({Error::kAnswerLost, {}}) == Outcome::kUnknown);
  CHECK(ClassifyCall({Error::kAnswerTooLarge, {}}) == Outcome::kUnknown);
  CHECK(ClassifyCall({{}, Error::kStaleTerm}) == Outcome::kNotRun);
  CHECK(ClassifyCall({{}, Error::kStatementFailed}) == Outcome::kFailed);
  CHECK(ClassifyCall({{}, {}}) == Outcome::kDone);
}

TEST(Classification, RepeatsARequestThatMayHaveRunOnlyIfSafe) {
  CHECK(ChooseNextStep(Outcome::kUnknown, Error::kAnswerLost,
                       Repeatability::kUnsafe) == NextStep::kSettle);
  CHECK(ChooseNextStep(Outcome::kUnknown, Error::kAnswerLost,
                       Repeatability::kSafe) == NextStep::kRetryLater);
  CHECK(ChooseNextStep(Outcome::kNotRun, Error::kNotPrimary,
                       Repeatability::kUnsafe) == NextStep::kTryNext);
  CHECK(ChooseNextStep(Outcome::kNotRun, Error::kRequestVoid,
                       Repeatability::kUnsafe) == NextStep::kAnswer);
  CHECK(ChooseNextStep(Outcome::kFailed, Error::kStatementFailed,
                       Repeatability::kSafe) == NextStep::kAnswer);
}

TEST_GROUP(Retries){};

TEST(Retries, StayWithinATenthOfTheTraffic) {
  RetryBudget budget;
  int retries = 0;
  while (budget.TryRetry()) {
    ++retries;
  }
  LONGS_EQUAL(static_cast<int>(RetryBudget::kMaxSavedRetries), retries);
  for (int n = 0; n < 1000; ++n) {
    budget.RecordRequest();
    retries += budget.TryRetry() ? 1 : 0;
  }
  CHECK(retries <= RetryBudget::kMaxSavedRetries + 100);
}

TEST(Retries, BackoffsStayWithinTheirBounds) {
  std::mt19937_64 random(1);
  using std::chrono::milliseconds;
  for (int attempt = 1; attempt < 12; ++attempt) {
    const Duration backoff =
        ChooseBackoff(attempt, milliseconds(20), milliseconds(200), random);
    CHECK(backoff >= milliseconds(10) && backoff <= milliseconds(200));
  }
}

}  // namespace magnoliareel
