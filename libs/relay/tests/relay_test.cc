#include "relay/relay.h"

#include <array>

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(10)};

LogPoint At(uint64_t term, uint64_t position) {
  return {Term{term}, LogPosition{position}};
}

TimePoint After(int64_t milliseconds) {
  return kStart + std::chrono::milliseconds(milliseconds);
}

EndpointEntry MakeEndpoint(const char* id, bool primary) {
  EndpointEntry entry;
  entry.id.value = id;
  entry.slots = 4;
  entry.claims_primary = primary;
  return entry;
}

}  // namespace

TEST_GROUP(Freshness){};

TEST(Freshness, FindsTheLowestPointThatCoversAMoment) {
  FreshnessBoundHistory bounds;
  bounds.Record(After(0), At(1, 10));
  bounds.Record(After(100), At(1, 20));
  bounds.Record(After(200), At(1, 30));
  CHECK(bounds.Find(After(-50)) == At(1, 10));
  CHECK(bounds.Find(After(50)) == At(1, 20));
  CHECK(bounds.Find(After(200)) == At(1, 30));
  CHECK(!bounds.Find(After(201)));
}

TEST(Freshness, APeersBoundIsAsOldAsItsQuestionAndItsAge) {
  FreshnessBoundHistory bounds;
  bounds.RecordFromPeer(After(1000),
                        {ServiceId{"logs"}, At(1, 7), Duration(300'000)});
  CHECK(bounds.Find(After(700)) == At(1, 7));
  CHECK(!bounds.Find(After(701)).has_value());
}

TEST(Freshness, IgnoresAnswersThatWereOvertaken) {
  FreshnessBoundHistory bounds;
  bounds.Record(After(100), At(2, 20));
  bounds.Record(After(200), At(1, 25));
  bounds.Record(After(50), At(2, 30));
  CHECK(bounds.Find(After(60)) == At(2, 20));
  CHECK(!bounds.Find(After(150)));
}

TEST(Freshness, PrefersTheNewestTerm) {
  FreshnessBoundHistory bounds;
  bounds.Record(After(0), At(1, 90));
  bounds.Record(After(100), At(2, 80));
  CHECK(bounds.Find(After(-10)) == At(2, 80));
}

TEST(Freshness, MergedBoundsNeverUnderstate) {
  FreshnessBoundHistory bounds;
  for (int n = 0; n < 100; ++n) {
    bounds.Record(After(n), At(1, static_cast<uint64_t>(n)));
  }
  for (int n = 0; n < 100; ++n) {
    CHECK(bounds.Find(After(n)) >= At(1, static_cast<uint64_t>(n)));
  }
}

TEST_GROUP(Leaders){};

TEST(Leaders, AProofGoesBeforeAClaim) {
  const EndpointEntry old = MakeEndpoint("db-1", true);
  const EndpointEntry fresh = MakeEndpoint("db-2", false);
  const std::array<const EndpointEntry*, 2> entries = {&old, &fresh};
  PrimaryTracker tracker;
  CHECK(tracker.UpdateFromDirectory(entries, kStart));
  STRCMP_EQUAL("db-1", tracker.GetPrimary()->value.c_str());
  CHECK(tracker.RecordConfirmed(fresh.id, Term{2}));
  CHECK(!tracker.UpdateFromDirectory(entries, kStart));
  CHECK(!tracker.RecordConfirmed(old.id, Term{1}));
  STRCMP_EQUAL("db-2", tracker.GetPrimary()->value.c_str());
}

TEST(Leaders, OneThatRefusesIsAskedAgainLater) {
  const EndpointEntry entry = MakeEndpoint("db-1", true);
  const std::array<const EndpointEntry*, 1> entries = {&entry};
  PrimaryTracker tracker;
  tracker.UpdateFromDirectory(entries, kStart);
  CHECK(tracker.RecordNotPrimary(entry.id, kStart));
  CHECK(tracker.GetPrimary() == nullptr);
  CHECK(!tracker.UpdateFromDirectory(entries, After(50)));
  CHECK(tracker.UpdateFromDirectory(entries, After(150)));
}

TEST(Leaders, AnAnnouncedOneIsAwaited) {
  PrimaryTracker tracker;
  const EndpointId next{"db-2"};
  CHECK(tracker.RecordAnnouncedPromotion(next, kStart));
  CHECK(!tracker.RecordNotPrimary(next, After(300)));
  CHECK(tracker.GetPrimary() != nullptr);
  CHECK(tracker.RecordNotPrimary(next, After(2500)));
  CHECK(tracker.GetPrimary() == nullptr);
}

TEST_GROUP(Pool){};

TEST(Pool, ServesUrgentAndEarlyDeadlinesFirst) {
  EndpointPool pool(MakeEndpoint("db-1", true), Distance::kSameSite);
  pool.Enqueue({1, 1, 2, After(100)});
  pool.Enqueue({2, 2, 1, After(900)});
  pool.Enqueue({3, 3, 1, After(500)});
  pool.Enqueue({4, 4, 1, After(500)});
  LONGS_EQUAL(3, pool.queue[0].session);
  LONGS_EQUAL(4, pool.queue[1].session);
  LONGS_EQUAL(2, pool.queue[2].session);
  LONGS_EQUAL(1, pool.queue[3].session);
  pool.Remove(4);
  LONGS_EQUAL(3, pool.queue.size());
}

TEST(Pool, LeavesAFailingEndpointAloneForLongerAndLonger) {
  EndpointPool pool(MakeEndpoint("db-1", true), Distance::kSameSite);
  CHECK(pool.CanOpenConnection(4, kStart));
  pool.RecordFailure(kStart);
  CHECK(pool.IsBackedOff(After(99)));
  CHECK(!pool.IsBackedOff(After(100)));
  pool.RecordFailure(After(100));
  CHECK(pool.IsBackedOff(After(299)));
  pool.RecordActivity(After(300));
  CHECK(!pool.IsBackedOff(After(300)));
}

TEST(Pool, TheLimitFollowsWhatTheEndpointTakes) {
  EndpointPool pool(MakeEndpoint("db-1", true), Distance::kSameSite);
  pool.ResetConcurrencyLimit(8);
  LONGS_EQUAL(1, pool.GetConcurrencyLimit());
  pool.Enqueue({1, 1, 1, After(100)});
  for (int n = 0; n < 40; ++n) {
    pool.RecordReply(Duration(1000), After(n));
  }
  LONGS_EQUAL(4, pool.GetConcurrencyLimit());
  pool.RecordBusy(After(100));
  LONGS_EQUAL(2, pool.GetConcurrencyLimit());
  pool.RecordBusy(After(110));
  LONGS_EQUAL(2, pool.GetConcurrencyLimit());
}

TEST(Pool, RemembersForAMomentThatItIsFull) {
  EndpointPool pool(MakeEndpoint("db-1", true), Distance::kSameSite);
  CHECK(!pool.IsAtConnectionLimit(kStart));
  pool.RecordConnectionRefused(kStart);
  CHECK(!pool.CanOpenConnection(8, kStart));
  CHECK(pool.CanOpenConnection(8, kStart + kOpenBackoff));
  CHECK(pool.IsAtConnectionLimit(kStart + kOpenBackoff));
  CHECK(!pool.IsAtConnectionLimit(kStart + std::chrono::seconds(1)));
}

TEST(Pool, RemembersALongLagForLonger) {
  EndpointPool pool(MakeEndpoint("db-2", false), Distance::kSameSite);
  pool.RecordAppliedPoint(At(1, 5), kStart);
  pool.RecordFreshness(true);
  CHECK(!pool.HasPersistentLag());
  CHECK(!pool.IsBehind(At(1, 9), After(200)));
  for (int n = 0; n < 5; ++n) {
    pool.RecordFreshness(true);
  }
  CHECK(pool.HasPersistentLag());
  CHECK(pool.IsBehind(At(1, 9), After(1000)));
  CHECK(!pool.IsBehind(At(1, 5), After(1000)));
  CHECK(!pool.IsBehind(At(1, 9), After(1300)));
  pool.RecordFreshness(false);
  CHECK(!pool.HasPersistentLag());
  CHECK(!pool.IsBehind(At(1, 9), After(100)));
}

TEST(Pool, RestsForAPartOfTheTimeBetweenUses) {
  EndpointPool pool(MakeEndpoint("db-1", true), Distance::kSameSite);
  TimePoint now = kStart;
  for (int n = 0; n < 60; ++n) {
    now += std::chrono::milliseconds(400);
    pool.RecordUse(now);
  }
  const Duration rest = pool.GetScaledIdleTimeout(0.5);
  CHECK(rest > std::chrono::milliseconds(190));
  CHECK(rest < std::chrono::milliseconds(210));
}

TEST(Pool, KnowsForAMomentThatAReplicaIsBehind) {
  EndpointPool pool(MakeEndpoint("db-1", false), Distance::kSameSite);
  pool.RecordAppliedPoint(At(1, 10), kStart);
  CHECK(pool.IsBehind(At(1, 11), After(10)));
  CHECK(!pool.IsBehind(At(1, 10), After(10)));
  CHECK(!pool.IsBehind(At(1, 11), After(200)));
}

TEST_GROUP(Lines){};

TEST(Lines, AreBoundedASecond) {
  LogRateLimiter limiter(5);
  int taken = 0;
  for (int n = 0; n < 2000; ++n) {
    taken += limiter.Take(After(n)) ? 1 : 0;
  }
  CHECK(taken >= 14 && taken <= 15);
}

}  // namespace magnoliareel
