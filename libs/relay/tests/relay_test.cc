#include "relay/relay.h"

#include <array>

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(10)};

LogPoint MakePoint(uint64_t term, uint64_t position) {
  return {Term{term}, LogPosition{position}};
}

TimePoint AtMs(int64_t milliseconds) {
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

TEST_GROUP(FreshnessBoundHistory){};

TEST(FreshnessBoundHistory, FindsLowestPointThatCoversTime) {
  FreshnessBoundHistory history;
  history.Record(AtMs(0), MakePoint(1, 10));
  history.Record(AtMs(100), MakePoint(1, 20));
  history.Record(AtMs(200), MakePoint(1, 30));
  CHECK(history.Find(AtMs(-50)) == MakePoint(1, 10));
  CHECK(history.Find(AtMs(50)) == MakePoint(1, 20));
  CHECK(history.Find(AtMs(200)) == MakePoint(1, 30));
  CHECK(!history.Find(AtMs(201)));
}

TEST(FreshnessBoundHistory, DatesPeerBoundByQueryTimeMinusAge) {
  FreshnessBoundHistory history;
  history.RecordFromPeer(
      AtMs(1000), {ServiceId{"logs"}, MakePoint(1, 7), Duration(300'000)});
  CHECK(history.Find(AtMs(700)) == MakePoint(1, 7));
  CHECK(!history.Find(AtMs(701)).has_value());
}

TEST(FreshnessBoundHistory, IgnoresLateReplies) {
  FreshnessBoundHistory history;
  history.Record(AtMs(100), MakePoint(2, 20));
  history.Record(AtMs(200), MakePoint(1, 25));
  history.Record(AtMs(50), MakePoint(2, 30));
  CHECK(history.Find(AtMs(60)) == MakePoint(2, 20));
  CHECK(!history.Find(AtMs(150)));
}

TEST(FreshnessBoundHistory, UsesOnlyNewestTerm) {
  FreshnessBoundHistory history;
  history.Record(AtMs(0), MakePoint(1, 90));
  history.Record(AtMs(100), MakePoint(2, 80));
  CHECK(history.Find(AtMs(-10)) == MakePoint(2, 80));
}

TEST(FreshnessBoundHistory, MergedBoundsCoverAllRecordedPoints) {
  FreshnessBoundHistory history;
  for (int n = 0; n < 100; ++n) {
    history.Record(AtMs(n), MakePoint(1, static_cast<uint64_t>(n)));
  }
  for (int n = 0; n < 100; ++n) {
    CHECK(history.Find(AtMs(n)) >= MakePoint(1, static_cast<uint64_t>(n)));
  }
}

TEST_GROUP(PrimaryTracker){};

TEST(PrimaryTracker, PrefersConfirmedPrimaryToClaim) {
  const EndpointEntry previous = MakeEndpoint("db-1", true);
  const EndpointEntry promoted = MakeEndpoint("db-2", false);
  const std::array<const EndpointEntry*, 2> entries = {&previous, &promoted};
  PrimaryTracker tracker;
  CHECK(tracker.UpdateFromDirectory(entries, kStart));
  STRCMP_EQUAL("db-1", tracker.GetPrimary()->value.c_str());
  CHECK(tracker.RecordConfirmed(promoted.id, Term{2}, kStart));
  CHECK(!tracker.UpdateFromDirectory(entries, kStart));
  CHECK(!tracker.RecordConfirmed(previous.id, Term{1}, kStart));
  STRCMP_EQUAL("db-2", tracker.GetPrimary()->value.c_str());
}

TEST(PrimaryTracker, RetriesRefusingEndpointAfterInterval) {
  const EndpointEntry entry = MakeEndpoint("db-1", true);
  const std::array<const EndpointEntry*, 1> entries = {&entry};
  PrimaryTracker tracker;
  tracker.UpdateFromDirectory(entries, kStart);
  CHECK(tracker.RecordNotPrimary(entry.id, kStart));
  CHECK(tracker.GetPrimary() == nullptr);
  CHECK(!tracker.UpdateFromDirectory(entries, AtMs(50)));
  CHECK(tracker.UpdateFromDirectory(entries, AtMs(150)));
}

TEST(PrimaryTracker, KeepsAnnouncedPrimaryDuringGracePeriod) {
  PrimaryTracker tracker;
  const EndpointId next{"db-2"};
  CHECK(tracker.RecordAnnouncedPromotion(next, kStart));
  CHECK(!tracker.RecordNotPrimary(next, AtMs(300)));
  CHECK(tracker.GetPrimary() != nullptr);
  CHECK(tracker.RecordNotPrimary(next, AtMs(2500)));
  CHECK(tracker.GetPrimary() == nullptr);
}

TEST(PrimaryTracker, AFormerPrimaryOverrulesNoAnnouncedPromotion) {
  // Guards against statements that go back to the former primary, which leads
  // and acknowledges until the promotion takes effect.
  PrimaryTracker tracker;
  const EndpointId former{"db-1"};
  const EndpointId next{"db-2"};
  const EndpointId other{"db-3"};
  CHECK(tracker.RecordConfirmed(former, Term{4}, kStart));
  CHECK(tracker.RecordAnnouncedPromotion(next, kStart));
  CHECK(!tracker.RecordConfirmed(former, Term{4}, AtMs(1900)));
  STRCMP_EQUAL("db-2", tracker.GetPrimary()->value.c_str());
  // A promotion that took no effect.
  CHECK(tracker.RecordConfirmed(former, Term{4}, AtMs(2100)));
  STRCMP_EQUAL("db-1", tracker.GetPrimary()->value.c_str());
  CHECK(tracker.RecordAnnouncedPromotion(next, AtMs(3000)));
  CHECK(tracker.RecordConfirmed(other, Term{5}, AtMs(3100)));
  STRCMP_EQUAL("db-3", tracker.GetPrimary()->value.c_str());
  CHECK(tracker.RecordNotPrimary(other, AtMs(3200)));
  CHECK(tracker.RecordConfirmed(other, Term{5}, AtMs(3300)));
  STRCMP_EQUAL("db-3", tracker.GetPrimary()->value.c_str());
}

TEST_GROUP(CommitHold){};

TEST(CommitHold, ExcludesAllButTheSuccessorUntilItsPeriodEnds) {
  const EndpointId former{"db-1"};
  const EndpointId next{"db-2"};
  CommitHold hold;
  CHECK(!hold.Excludes(former, kStart));
  CHECK(hold.Begin({}, Term{4}, kStart));
  CHECK(hold.Excludes(former, kStart));
  CHECK(hold.Excludes(next, kStart));
  CHECK(hold.GetSuccessor(kStart) == nullptr);
  CHECK(hold.Begin(next, Term{4}, AtMs(500)));
  CHECK(hold.Excludes(former, AtMs(2400)));
  CHECK(!hold.Excludes(next, AtMs(2400)));
  STRCMP_EQUAL("db-2", hold.GetSuccessor(AtMs(2400))->value.c_str());
  CHECK(!hold.TakeExpired(AtMs(2499)));
  CHECK(!hold.Excludes(former, AtMs(2500)));
  const auto ended = hold.TakeExpired(AtMs(2500));
  STRCMP_EQUAL("db-2", ended->successor.value.c_str());
  CHECK(ended->began == kStart);
  CHECK(!hold.TakeExpired(AtMs(2500)));
}

TEST(CommitHold, IsContinuedByRepetitionAndEndedByRelease) {
  const EndpointId former{"db-1"};
  const EndpointId next{"db-2"};
  CommitHold hold;
  CHECK(hold.Begin(next, Term{4}, kStart));
  CHECK(!hold.Begin(next, Term{4}, AtMs(1500)));
  CHECK(hold.Excludes(former, AtMs(3400)));
  CHECK(hold.Release(AtMs(3400)).has_value());
  CHECK(!hold.Excludes(former, AtMs(3400)));
  CHECK(!hold.Release(AtMs(3400)));
  CHECK(hold.Begin(next, Term{4}, AtMs(3410)));
  CHECK(hold.Excludes(former, AtMs(3410)));
}

TEST(CommitHold, EndsByANewerTermOfTheSuccessorOnly) {
  // Guards against a hold that ends by the effect of an older order, or by what
  // the successor answered in a term that it led before.
  const EndpointId former{"db-1"};
  const EndpointId next{"db-2"};
  const EndpointId other{"db-3"};
  CommitHold hold;
  CHECK(hold.Begin(next, Term{4}, kStart));
  CHECK(!hold.RecordConfirmed(former, Term{4}, AtMs(10)));
  CHECK(!hold.RecordConfirmed(other, Term{5}, AtMs(20)));
  CHECK(!hold.RecordConfirmed(next, Term{4}, AtMs(30)));
  CHECK(hold.Excludes(former, AtMs(30)));
  CHECK(hold.Excludes(other, AtMs(30)));
  CHECK(hold.RecordConfirmed(next, Term{6}, AtMs(40)).has_value());
  CHECK(!hold.Excludes(former, AtMs(40)));
}

TEST(CommitHold, ANoticeBehindTheProofOfItsSuccessorBeginsNoHold) {
  const EndpointId former{"db-1"};
  const EndpointId next{"db-2"};
  CommitHold hold;
  CHECK(hold.Begin(next, Term{4}, kStart));
  CHECK(hold.RecordConfirmed(next, Term{5}, AtMs(500)).has_value());
  CHECK(!hold.Begin(next, Term{5}, AtMs(600)));
  CHECK(!hold.IsInForce(AtMs(600)));
  // The next replacement, of this successor.
  CHECK(hold.Begin({}, Term{5}, AtMs(700)));
  CHECK(hold.Excludes(next, AtMs(700)));
  CHECK(hold.Begin(former, Term{5}, AtMs(800)));
  CHECK(hold.Begin(next, Term{5}, AtMs(900)));
  CHECK(hold.Excludes(former, AtMs(900)));
}

TEST_GROUP(CommitLossDetector){};

TEST(CommitLossDetector, FindsAnAnsweredCommitThatTheNewTermReplaced) {
  CommitLossDetector detector;
  CHECK(!detector.RecordPrimary(MakePoint(7, 80)));
  CHECK(!detector.RecordAnswered(MakePoint(7, 89), MakePoint(7, 90)));
  const auto finding = detector.RecordPrimary(MakePoint(8, 90));
  CHECK(finding && finding->is_loss);
  CHECK(finding->first_seen == MakePoint(8, 90));
  CHECK(finding->last_answered == MakePoint(7, 90));
  CHECK(finding->proven == MakePoint(7, 90));
  // The next term does not show the same loss again.
  const auto next = detector.RecordPrimary(MakePoint(9, 90));
  CHECK(next && !next->is_loss && !next->last_answered);
}

TEST(CommitLossDetector, ACommitBelowTheNewTermIsNotLost) {
  CommitLossDetector detector;
  detector.RecordPrimary(MakePoint(7, 80));
  detector.RecordAnswered(MakePoint(7, 88), MakePoint(7, 89));
  const auto finding = detector.RecordPrimary(MakePoint(8, 90));
  CHECK(finding && !finding->is_loss);
  CHECK(finding->last_answered == MakePoint(7, 89));
  CHECK(!detector.RecordPrimary(MakePoint(8, 91)));
}

TEST(CommitLossDetector, RecordsBehindTheCommitInItsAnswerAreNoLoss) {
  // The end of the log in an answer may belong to commits of others that nobody
  // has acknowledged, and that a promotion may drop.
  CommitLossDetector detector;
  detector.RecordPrimary(MakePoint(7, 80));
  detector.RecordAnswered(MakePoint(7, 88), MakePoint(7, 95));
  const auto finding = detector.RecordPrimary(MakePoint(8, 90));
  CHECK(finding && !finding->is_loss);
  CHECK(finding->last_answered == MakePoint(7, 95));
  CHECK(finding->proven == MakePoint(7, 89));
}

TEST(CommitLossDetector, AnEndOfAnotherTermProvesNothing) {
  CommitLossDetector detector;
  detector.RecordPrimary(MakePoint(7, 80));
  detector.RecordAnswered(MakePoint(6, 99), MakePoint(7, 91));
  const auto finding = detector.RecordPrimary(MakePoint(8, 90));
  CHECK(finding && !finding->is_loss && !finding->proven);
}

TEST(CommitLossDetector, APointThatIsSeenLateHidesALossButALaterTermShowsIt) {
  CommitLossDetector detector;
  detector.RecordPrimary(MakePoint(7, 80));
  detector.RecordAnswered(MakePoint(7, 94), MakePoint(7, 95));
  CHECK(!detector.RecordPrimary(MakePoint(8, 100))->is_loss);
  CHECK(detector.RecordPrimary(MakePoint(9, 93))->is_loss);
}

TEST(CommitLossDetector, TellsHowFarALogMustReachToHoldTheAnsweredCommits) {
  // A point above the commit blocks a promotion that would lose nothing, and
  // one below it does not keep the commit.
  CommitLossDetector detector;
  CHECK(!detector.GetProven());
  detector.RecordPrimary(MakePoint(7, 80));
  detector.RecordAnswered(MakePoint(7, 88), MakePoint(7, 95));
  CHECK(detector.GetProven() == MakePoint(7, 89));
  detector.RecordAnswered(MakePoint(7, 86), MakePoint(7, 96));
  CHECK(detector.GetProven() == MakePoint(7, 89));
  detector.RecordAnswered(MakePoint(7, 95), MakePoint(7, 97));
  CHECK(detector.GetProven() == MakePoint(7, 96));
  // Known to be lost.
  CHECK(detector.RecordPrimary(MakePoint(8, 90))->is_loss);
  CHECK(!detector.GetProven());
}

TEST(CommitLossDetector, AStatementThatAddedNoRecordProvesNothing) {
  // Its point would lie behind the end of every log.
  CommitLossDetector detector;
  detector.RecordPrimary(MakePoint(7, 80));
  detector.RecordAnswered(MakePoint(7, 84), MakePoint(7, 85));
  detector.RecordAnswered(MakePoint(7, 90), MakePoint(7, 90));
  CHECK(detector.GetProven() == MakePoint(7, 85));
}

TEST(CommitLossDetector, FindsACommitThatAFormerPrimaryAnswersLate) {
  CommitLossDetector detector;
  detector.RecordPrimary(MakePoint(7, 80));
  CHECK(!detector.RecordPrimary(MakePoint(8, 90))->is_loss);
  CHECK(!detector.RecordAnswered(MakePoint(7, 88), MakePoint(7, 89)));
  const auto late = detector.RecordAnswered(MakePoint(7, 92), MakePoint(7, 93));
  CHECK(late && late->is_loss);
  CHECK(late->first_seen == MakePoint(8, 90));
  CHECK(late->proven == MakePoint(7, 93));
  // Reported once for the term.
  CHECK(!detector.RecordAnswered(MakePoint(7, 93), MakePoint(7, 94)));
  CHECK(!detector.RecordAnswered(MakePoint(8, 95), MakePoint(8, 96)));
}

TEST_GROUP(EndpointPool){};

TEST(EndpointPool, OrdersQueueByPriorityThenDeadline) {
  EndpointPool pool(MakeEndpoint("db-1", true), Distance::kSameSite);
  pool.Enqueue({1, 1, 2, AtMs(100)});
  pool.Enqueue({2, 2, 1, AtMs(900)});
  pool.Enqueue({3, 3, 1, AtMs(500)});
  pool.Enqueue({4, 4, 1, AtMs(500)});
  LONGS_EQUAL(3, pool.queue[0].session);
  LONGS_EQUAL(4, pool.queue[1].session);
  LONGS_EQUAL(2, pool.queue[2].session);
  LONGS_EQUAL(1, pool.queue[3].session);
  pool.Remove(4);
  LONGS_EQUAL(3, pool.queue.size());
}

TEST(EndpointPool, DoublesBackoffWithEachFailure) {
  EndpointPool pool(MakeEndpoint("db-1", true), Distance::kSameSite);
  CHECK(pool.CanOpenConnection(4, kStart));
  pool.RecordFailure(kStart);
  CHECK(pool.IsBackedOff(AtMs(99)));
  CHECK(!pool.IsBackedOff(AtMs(100)));
  pool.RecordFailure(AtMs(100));
  CHECK(pool.IsBackedOff(AtMs(299)));
  pool.RecordActivity(AtMs(300));
  CHECK(!pool.IsBackedOff(AtMs(300)));
}

TEST(EndpointPool, AdaptsConcurrencyLimitToReplies) {
  EndpointPool pool(MakeEndpoint("db-1", true), Distance::kSameSite);
  pool.SetSharers(8);
  LONGS_EQUAL(1, pool.GetConcurrencyLimit());
  pool.Enqueue({1, 1, 1, AtMs(100)});
  for (int n = 0; n < 40; ++n) {
    pool.RecordReply(Duration(1000), AtMs(n));
  }
  LONGS_EQUAL(4, pool.GetConcurrencyLimit());
  pool.RecordBusy(AtMs(100));
  LONGS_EQUAL(2, pool.GetConcurrencyLimit());
  pool.RecordBusy(AtMs(110));
  LONGS_EQUAL(2, pool.GetConcurrencyLimit());
}

TEST(EndpointPool, RemembersConnectionLimitBriefly) {
  EndpointPool pool(MakeEndpoint("db-1", true), Distance::kSameSite);
  CHECK(!pool.IsAtConnectionLimit(kStart));
  pool.RecordConnectionRefused(kStart);
  CHECK(!pool.CanOpenConnection(8, kStart));
  CHECK(pool.CanOpenConnection(8, kStart + kOpenBackoff));
  CHECK(pool.IsAtConnectionLimit(kStart + kOpenBackoff));
  CHECK(!pool.IsAtConnectionLimit(kStart + std::chrono::seconds(1)));
}

TEST(EndpointPool, ExtendsBehindStateWithConsecutiveReads) {
  EndpointPool pool(MakeEndpoint("db-2", false), Distance::kSameSite);
  pool.RecordAppliedPoint(MakePoint(1, 5), kStart);
  pool.RecordFreshness(true);
  CHECK(!pool.HasPersistentLag());
  CHECK(!pool.IsBehind(MakePoint(1, 9), AtMs(200)));
  for (int n = 0; n < 5; ++n) {
    pool.RecordFreshness(true);
  }
  CHECK(pool.HasPersistentLag());
  CHECK(pool.IsBehind(MakePoint(1, 9), AtMs(1000)));
  CHECK(!pool.IsBehind(MakePoint(1, 5), AtMs(1000)));
  CHECK(!pool.IsBehind(MakePoint(1, 9), AtMs(1300)));
  pool.RecordFreshness(false);
  CHECK(!pool.HasPersistentLag());
  CHECK(!pool.IsBehind(MakePoint(1, 9), AtMs(100)));
}

TEST(EndpointPool, ScalesIdleTimeoutWithUseInterval) {
  EndpointPool pool(MakeEndpoint("db-1", true), Distance::kSameSite);
  TimePoint now = kStart;
  for (int n = 0; n < 60; ++n) {
    now += std::chrono::milliseconds(400);
    pool.RecordUse(now);
  }
  const Duration timeout = pool.GetScaledIdleTimeout(0.5);
  CHECK(timeout > std::chrono::milliseconds(190));
  CHECK(timeout < std::chrono::milliseconds(210));
}

TEST(EndpointPool, RemembersBrieflyThatReplicaIsBehind) {
  EndpointPool pool(MakeEndpoint("db-1", false), Distance::kSameSite);
  pool.RecordAppliedPoint(MakePoint(1, 10), kStart);
  CHECK(pool.IsBehind(MakePoint(1, 11), AtMs(10)));
  CHECK(!pool.IsBehind(MakePoint(1, 10), AtMs(10)));
  CHECK(!pool.IsBehind(MakePoint(1, 11), AtMs(200)));
}

TEST_GROUP(HedgeBudget){};

TEST(HedgeBudget, LimitsHedgesToAFractionOfTheSuccesses) {
  HedgeBudget budget;
  while (budget.Take()) {
  }
  int hedges = 0;
  for (int n = 0; n < 1000; ++n) {
    budget.RecordSuccess();
    hedges += budget.Take() ? 1 : 0;
  }
  CHECK(hedges >= 49 && hedges <= 51);
}

TEST_GROUP(LogRateLimiter){};

TEST(LogRateLimiter, LimitsLinesPerSecond) {
  LogRateLimiter limiter(5);
  int allowed = 0;
  for (int n = 0; n < 2000; ++n) {
    allowed += limiter.Take(AtMs(n)) ? 1 : 0;
  }
  CHECK(allowed >= 14 && allowed <= 15);
}

}  // namespace magnoliareel
