#include <string>
#include <vector>

#include "pool/pool.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;

QueuedWork MakeWork(uint64_t id,
                    const std::string& caller,
                    WorkClass work_class) {
  const TimePoint now{};
  return {id, {caller}, work_class, false, now, now + std::chrono::seconds(60)};
}

/** Empties a queue.

    @returns  ids of the work in the order in which the queue started it */
template <class Q>
std::vector<uint64_t> PopAll(Q& queue, StartLimits limits) {
  std::vector<uint64_t> ids;
  while (const auto work = queue.Pop(limits)) {
    ids.push_back(work->id);
  }
  return ids;
}

}  // namespace

TEST_GROUP(FairQueueTests) {
  FairQueue queue;
};

TEST(FairQueueTests, ServesCallersRoundRobin) {
  for (uint64_t id = 1; id <= 4; ++id) {
    queue.Push(MakeWork(id, "greedy", WorkClass::kShort));
  }
  queue.Push(MakeWork(5, "modest", WorkClass::kShort));
  CHECK((PopAll(queue, {}) == std::vector<uint64_t>{1, 5, 2, 3, 4}));
}

TEST(FairQueueTests, StartsShortWorkFirstWithoutStarvingLongWork) {
  queue.Push(MakeWork(1, "a", WorkClass::kLong));
  for (uint64_t id = 2; id < 30; ++id) {
    queue.Push(MakeWork(id, "a", WorkClass::kShort));
  }
  const auto order = PopAll(queue, {});
  CHECK(order[0] == 2);
  CHECK(order[FairQueue::kMaxLongWorkSkips] == 1);
}

TEST(FairQueueTests, ContinuationsNeedNoNewConnection) {
  queue.Push(MakeWork(1, "a", WorkClass::kShort));
  QueuedWork continuation = MakeWork(2, "b", WorkClass::kShort);
  continuation.is_continuation = true;
  queue.Push(continuation);
  CHECK((PopAll(queue, {true, false}) == std::vector<uint64_t>{2}));
  LONGS_EQUAL(1, queue.GetSize());
}

TEST(FairQueueTests, RemovesWorkPastItsDeadline) {
  QueuedWork late = MakeWork(1, "a", WorkClass::kShort);
  late.deadline = TimePoint{} + milliseconds(5);
  queue.Push(late);
  queue.Push(MakeWork(2, "a", WorkClass::kLong));
  LONGS_EQUAL(0, queue.TakeExpired(TimePoint{} + milliseconds(4)).size());
  LONGS_EQUAL(1, queue.TakeExpired(TimePoint{} + milliseconds(5)).size());
  CHECK((PopAll(queue, {}) == std::vector<uint64_t>{2}));
}

TEST_GROUP(Scheduler) {
  SlotScheduler<FairQueue> scheduler{3};
  const TimePoint now{};
};

TEST(Scheduler, ReservesASlotForShortWork) {
  for (uint64_t id = 1; id <= 5; ++id) {
    CHECK(!scheduler.Admit(MakeWork(id, "a", WorkClass::kLong), now));
  }
  CHECK(scheduler.StartNext(true).has_value());
  CHECK(scheduler.StartNext(true).has_value());
  CHECK_FALSE(scheduler.StartNext(true).has_value());
  CHECK(!scheduler.Admit(MakeWork(9, "b", WorkClass::kShort), now));
  LONGS_EQUAL(9, scheduler.StartNext(true)->id);
}

TEST(Scheduler, ReservesMoreSlotsWhenShortWorkUsesThem) {
  // A run of 20 ms that finishes every 10 ms occupies two of the three slots.
  for (uint64_t id = 1; id <= 200; ++id) {
    CHECK(!scheduler.Admit(MakeWork(id, "a", WorkClass::kShort), now));
    CHECK(scheduler.StartNext(true).has_value());
    scheduler.Finish(id, milliseconds(20),
                     now + milliseconds(10 * static_cast<int64_t>(id)));
  }
  for (uint64_t id = 301; id <= 303; ++id) {
    CHECK(!scheduler.Admit(MakeWork(id, "a", WorkClass::kLong), now));
  }
  CHECK(scheduler.StartNext(true).has_value());
  CHECK_FALSE(scheduler.StartNext(true).has_value());
}

TEST(Scheduler, RejectsWorkThatCannotStartBeforeItsDeadline) {
  for (uint64_t id = 1; id <= 30; ++id) {
    CHECK(!scheduler.Admit(MakeWork(id, "a", WorkClass::kShort), now));
    if (scheduler.StartNext(true)) {
      scheduler.Finish(id, milliseconds(100), now);
    }
  }
  for (uint64_t id = 31; id <= 60; ++id) {
    CHECK(!scheduler.Admit(MakeWork(id, "a", WorkClass::kShort), now));
  }
  QueuedWork urgent = MakeWork(99, "a", WorkClass::kShort);
  urgent.deadline = now + milliseconds(200);
  CHECK(scheduler.Admit(urgent, now) == Error::kOverloaded);
}

TEST_GROUP(Connections){};

TEST(Connections, StayWithinTheLimit) {
  ConnectionPool pool(2);
  CHECK(pool.TryBeginOpen());
  CHECK(pool.TryBeginOpen());
  CHECK_FALSE(pool.TryBeginOpen());
  pool.RecordOpenFailure();
  CHECK(pool.TryBeginOpen());
  pool.RecordOpened();
  pool.PutIdle({"c1"});
  CHECK(pool.TakeIdle() == ConnectionId{"c1"});
  CHECK(!pool.TakeIdle().has_value());
  pool.RecordClosed();
  LONGS_EQUAL(1, pool.CountOpen());
}

TEST_GROUP(Estimates){};

TEST(Estimates, ClassifyStatementsByFingerprint) {
  RunTimeEstimates estimates;
  CHECK(estimates.Classify("sum 2026", WorkClass::kShort) == WorkClass::kShort);
  for (int n = 0; n < 8; ++n) {
    estimates.Learn("sum " + std::to_string(n), milliseconds(400));
  }
  CHECK(estimates.Classify("sum 99", WorkClass::kShort) == WorkClass::kLong);
  CHECK(estimates.Classify("get 99", WorkClass::kShort) == WorkClass::kShort);
  CHECK(estimates.Classify("get 99", WorkClass::kLong) == WorkClass::kLong);
}

TEST(Estimates, OneSlowRunDoesNotMakeAFingerprintLong) {
  RunTimeEstimates estimates;
  for (int n = 0; n < 8; ++n) {
    estimates.Learn("get 1", milliseconds(5));
  }
  estimates.Learn("get 1", std::chrono::seconds(60));
  CHECK(estimates.Classify("get 2", WorkClass::kShort) == WorkClass::kShort);
}

}  // namespace magnoliareel
