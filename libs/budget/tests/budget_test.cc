#include "budget/budget.h"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

TEST_GROUP(LineBudgets) {
  // Two medium places and two long ones.
  LineBudget budget{4 * kMediumLineBytes, 2 * kLongLineBytes};
  TimePoint now{std::chrono::seconds(100)};

  LineDecision Request(uint64_t id, LineClass wanted) {
    return budget.Request(id, wanted, now);
  }
};

// Guards against a crowd of unfinished lines that together exceed the memory.
TEST(LineBudgets, LetOthersWaitUntilAPlaceIsReleased) {
  for (const uint64_t id : {1, 2}) {
    CHECK(Request(id, LineClass::kLong) == LineDecision::kRead);
  }
  CHECK(Request(3, LineClass::kLong) == LineDecision::kWait);
  CHECK(budget.TakeGranted(now).empty());
  budget.Release(1);
  CHECK((budget.TakeGranted(now) == std::vector<uint64_t>{3}));
  CHECK(Request(3, LineClass::kLong) == LineDecision::kRead);
  LONGS_EQUAL(2, budget.CountTaken());
}

// Guards against places that are held for ever by a line that is never ended.
TEST(LineBudgets, FindHoldersThatStallWhileOthersWait) {
  Request(1, LineClass::kLong);
  Request(2, LineClass::kLong);
  now += kLineProgressPeriod;
  CHECK(budget.FindStalled(now).empty());
  CHECK(Request(3, LineClass::kLong) == LineDecision::kWait);
  budget.RecordReceived(2, kMinLineProgress);
  now += kLineProgressPeriod;
  CHECK((budget.FindStalled(now) == std::vector<uint64_t>{1}));
}

// Guards against closing a caller whose statement is in progress here.
TEST(LineBudgets, FindNoHolderWhoseStatementIsInProgress) {
  Request(1, LineClass::kLong);
  Request(2, LineClass::kLong);
  Request(3, LineClass::kLong);
  budget.SetInUse(1, true, now);
  now += kLineProgressPeriod;
  CHECK((budget.FindStalled(now) == std::vector<uint64_t>{2}));
  // The time in progress does not count once the next line begins.
  budget.SetInUse(1, false, now);
  CHECK(budget.FindStalled(now).empty());
}

// Guards against a deadlock of lines that have grown: all medium places are
// taken by connections that wait for long ones.
TEST(LineBudgets, KeepLongPlacesApartFromMediumOnes) {
  Request(1, LineClass::kMedium);
  Request(2, LineClass::kMedium);
  CHECK(Request(3, LineClass::kMedium) == LineDecision::kWait);
  CHECK(Request(1, LineClass::kLong) == LineDecision::kRead);
  CHECK((budget.TakeGranted(now) == std::vector<uint64_t>{3}));
}

// Guards against those that wait without a place exceeding the memory.
TEST(LineBudgets, CloseConnectionsBeyondTheLongestQueue) {
  for (const uint64_t id : {1, 2}) {
    Request(id, LineClass::kMedium);
  }
  for (const uint64_t id : {3, 4}) {
    CHECK(Request(id, LineClass::kMedium) == LineDecision::kWait);
  }
  CHECK(Request(5, LineClass::kMedium) == LineDecision::kClose);
  budget.Release(3);
  CHECK(Request(6, LineClass::kMedium) == LineDecision::kWait);
}

TEST_GROUP(SharedMemory){};

// Guards against large sessions that together exceed the memory, and against
// their taking the room of small ones.
TEST(SharedMemory, RefusesLargeHoldersBeyondTheLimitOnly) {
  HeldBytes held(100, 10);
  CHECK(held.Replace(0, 60));
  CHECK_FALSE(held.Replace(0, 60));
  CHECK_FALSE(held.Replace(60, 120));
  LONGS_EQUAL(60, held.GetTotal());
  LONGS_EQUAL(2, held.CountRefused());
  CHECK(held.Replace(0, 40));
  CHECK(held.Replace(0, 10));
  // A holder may always shrink.
  CHECK(held.Replace(60, 50));
  held.Release(50);
  LONGS_EQUAL(50, held.GetTotal());
}

TEST(SharedMemory, IsDividedWithinTheLimit) {
  const MemoryShares shares = DivideMemory(1000);
  const size_t sum = shares.held_text + shares.statement_text + shares.unsent +
                     shares.medium_lines + shares.long_lines;
  CHECK(sum <= 760);
}

TEST_GROUP(Descriptors){};

// Guards against callers that take the descriptors of endpoints and the store.
TEST(Descriptors, KeepAReserve) {
  CHECK(GetMaxAccepted(0) == SIZE_MAX);
  LONGS_EQUAL(150, GetMaxAccepted(200));
  LONGS_EQUAL(4300 - 1024, GetMaxAccepted(4300));
  LONGS_EQUAL(1, GetMaxAccepted(20));
}

// Guards against mute connections that keep callers out.
TEST(Descriptors, CloseTheOldestMuteConnectionFirst) {
  DescriptorBudget budget(3);
  std::vector<uint64_t> mute{2, 3, 4};
  const auto is_mute = [&](uint64_t id) {
    return std::find(mute.begin(), mute.end(), id) != mute.end();
  };
  LONGS_EQUAL(0, budget.Admit(1, 0, is_mute));
  LONGS_EQUAL(0, budget.Admit(2, 1, is_mute));
  LONGS_EQUAL(0, budget.Admit(3, 2, is_mute));
  // 1 has sent a message.
  LONGS_EQUAL(2, budget.Admit(4, 3, is_mute));
  mute = {};
  LONGS_EQUAL(5, budget.Admit(5, 3, is_mute));
}

}  // namespace magnoliareel
