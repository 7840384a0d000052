#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "telemetry/telemetry.h"
#include "tests/traffic/held_service.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;

constexpr size_t kSuccessor = 2;

}  // namespace

TEST_GROUP(CommitHolds){// Discards log lines unless a trace is wanted.
                        void setup() override{static LogBuffer log_buffer(0);
if (std::getenv("MAGNOLIAREEL_SIM_TRACE") == nullptr) {
  StartBufferedLog(log_buffer, "simulated");
} else {
  StartLog();
}
}  // namespace magnoliareel
}
;

TEST(CommitHolds, AFormerPrimaryThatLeadsUntilTheEffectAcknowledgesNothing) {
  // Guards against commits that the former primary acknowledges between the
  // order of a promotion and its effect, and that the new log lacks (LOST of
  // orders-after-their-premises).
  constexpr size_t kVms = 3;
  HeldService service(kVms);
  std::vector<uint64_t> sessions;
  for (size_t vm = 0; vm < kVms; ++vm) {
    sessions.push_back(service.Open(vm));
    service.Run(sessions.back(), "before" + std::to_string(vm),
                "WRITE groyne-1 x");
  }
  service.GetGroup().SetReplicationCut(kSuccessor, true);
  service.Hold(kSuccessor);
  service.Promote(kSuccessor);
  std::vector<std::pair<uint64_t, std::string>> sent;
  for (size_t n = 0; n < 60; ++n) {
    const uint64_t session = service.Open(n % kVms);
    const std::string id = "w" + std::to_string(n);
    service.Send(session, id, "WRITE groyne-1 " + id);
    sent.emplace_back(session, id);
    service.Advance(milliseconds(25));
    if (service.GetGroup().HasPrimaryRole(kSuccessor)) {
      service.GetGroup().SetReplicationCut(kSuccessor, false);
    }
  }
  service.Advance(milliseconds(1000));
  CHECK(service.GetGroup().HasPrimaryRole(kSuccessor));
  size_t acknowledged = 0;
  for (const auto& [session, id] : sent) {
    LONGS_EQUAL_TEXT(0, service.CountAtFormer(id), id.c_str());
    if (service.HasAnswer(session, "COMPLETE")) {
      ++acknowledged;
      CHECK_TEXT(service.IsKept(kSuccessor, id), id.c_str());
    }
  }
  // Those that were sent within a statement timeout of the effect, and later.
  CHECK(acknowledged > 40);
  for (size_t vm = 0; vm < kVms; ++vm) {
    LONGS_EQUAL(
        0, service.GetSimulation().GetCore(vm).GetCounters().commit_losses);
    CHECK(service.CountHeld(vm) > 0);
  }
}

TEST(CommitHolds, AnAnsweredCommitIsKnownToTheControlThread) {
  // Guards against a promotion that does not know of it, and against one that
  // waits for a commit that was answered to no caller.
  HeldService service(2);
  const ServiceId id{service.GetSimulation().GetService()};
  const auto find = [&](size_t vm) {
    return service.GetSimulation().GetCore(vm).FindAnsweredCommit(id);
  };
  const uint64_t session = service.Open(0);
  service.Run(session, "first", "WRITE groyne-1 x");
  service.Run(session, "second", "WRITE groyne-1 y");
  const auto answered = find(0);
  const size_t end = service.GetGroup().GetLog(kFormer).size();
  CHECK(answered && answered->position.value == end);
  CHECK(!find(1));
  for (size_t it : {size_t{1}, kSuccessor}) {
    service.GetGroup().SetReplicationCut(it, true);
  }
  service.Send(session, "third", "WRITE groyne-1 z");
  service.Advance(milliseconds(300));
  CHECK(service.GetGroup().GetLog(kFormer).size() > end);
  CHECK(!service.HasAnswer(session, "COMPLETE"));
  CHECK(find(0) == answered);
  CHECK(!service.GetSimulation().GetCore(0).FindAnsweredCommit(
      ServiceId{"no-service"}));
}

TEST(CommitHolds, ACommitOfAnOpenTransactionIsAbortedAndTakesNoEffect) {
  // Guards against a transaction that began at the former primary and commits
  // there while it is being replaced, and against an ABORTED whose transaction
  // commits after all.
  for (const char* last : {"COMMIT", "WRITE groyne-2 y"}) {
    HeldService service(1);
    const uint64_t session = service.Open(0);
    service.Send(session, "b", "BEGIN");
    service.Run(session, "w", "WRITE groyne-1 x");
    service.Hold(std::nullopt);
    service.Send(session, "c", last);
    const bool commits = std::string_view(last) == "COMMIT";
    CHECK_TEXT(service.HasAnswer(session,
                                 "ERROR ABORTED the primary is being "
                                 "replaced\nREADY " +
                                     std::string(commits ? "I" : "E")),
               service.GetAnswers(session).c_str());
    LONGS_EQUAL(1, service.CountHeld(0));
    service.Advance(2 * kCommitHoldPeriod);
    LONGS_EQUAL(0, service.CountExecutions("c"));
    for (size_t member = 0; member < 3; ++member) {
      CHECK(!service.IsKept(member, "w"));
    }
    if (!commits) {
      service.Run(session, "r", "ROLLBACK");
    }
    service.Run(session, "next", "WRITE groyne-1 z");
    CHECK(service.IsKept(kFormer, "next"));
  }
}

TEST(CommitHolds, ATransactionThatOnlyReadsEndsWhereItBegan) {
  // Guards against transactions that are aborted although nothing of them can
  // be lost.
  HeldService service(1);
  const uint64_t session = service.Open(0);
  service.Send(session, "b", "BEGIN");
  service.Run(session, "r1", "READ groyne-1");
  service.Hold(std::nullopt);
  service.Run(session, "r2", "READ groyne-1");
  service.Run(session, "c", "COMMIT");
  LONGS_EQUAL(1, service.CountAtFormer("r2"));
}

TEST(CommitHolds, WhatWasSentBeforeIsAnsweredAndMovesNothingBack) {
  // Guards against answers that are withheld, and against a commit that was
  // under way at the notice and lets later ones go to the former primary.
  constexpr size_t kRemoteVm = 1;
  HeldService service(2);
  const uint64_t first = service.Open(kRemoteVm);
  const uint64_t second = service.Open(kRemoteVm);
  const ServiceId id{service.GetSimulation().GetService()};
  service.Run(first, "w0", "WRITE groyne-1 x");
  service.Send(first, "w1", "WRITE groyne-1 x");
  service.GetSimulation().GetCore(kRemoteVm).HoldCommits(
      id, EndpointId{service.GetGroup().GetId(kSuccessor)});
  service.Send(second, "w2", "WRITE groyne-1 y");
  service.Advance(milliseconds(300));
  CHECK_TEXT(service.HasAnswer(first, "COMPLETE proof-w1"),
             service.GetAnswers(first).c_str());
  service.Send(first, "w3", "WRITE groyne-1 z");
  service.Advance(milliseconds(1000));
  LONGS_EQUAL(0, service.CountExecutions("w2"));
  LONGS_EQUAL(0, service.CountExecutions("w3"));
  CHECK_TEXT(service.HasAnswer(second, "ERROR BUSY"),
             service.GetAnswers(second).c_str());
}

TEST(CommitHolds, NothingIsSentBehindABeginningThatTheNoticeOvertakes) {
  // Guards against a statement that is sent to the former primary because the
  // beginning of its transaction was under way at the notice.
  constexpr size_t kRemoteVm = 1;
  for (const char* it : {"READ groyne-1", "WRITE groyne-1 x"}) {
    HeldService service(2);
    const uint64_t session = service.Open(kRemoteVm);
    // A session with values of its own can't use a transaction that was begun
    // in advance.
    service.Send(session, "s", "SET zone north");
    service.Send(session, "b", "BEGIN");
    service.Send(session, "q", it);
    service.Advance(milliseconds(2));
    service.GetSimulation().GetCore(kRemoteVm).HoldCommits(
        ServiceId{service.GetSimulation().GetService()}, {});
    service.Advance(milliseconds(1000));
    LONGS_EQUAL(0, service.CountExecutions("q"));
    CHECK_TEXT(service.HasAnswer(session, "ERROR BUSY"),
               service.GetAnswers(session).c_str());
  }
}

TEST(CommitHolds, AReadAtThePrimarySeesNothingThatThePromotionRollsBack) {
  // Guards against a read of a route that reads at the primary which shows a
  // commit of the former primary that the new log lacks.
  HeldService service(2);
  const uint64_t writer = service.Open(0);
  const uint64_t reader = service.Open(1);
  service.Run(reader, "r0", "READ groyne-1");
  service.GetGroup().SetReplicationCut(kSuccessor, true);
  service.Run(writer, "w", "WRITE groyne-1 lost");
  service.Hold(kSuccessor);
  service.Advance(milliseconds(400));
  service.Promote(kSuccessor);
  service.Advance(milliseconds(500));
  service.Send(reader, "r1", "READ groyne-1");
  service.Advance(milliseconds(1000));
  LONGS_EQUAL(0, service.CountAtFormer("r1"));
  CHECK_TEXT(service.HasAnswer(reader, "COMPLETE proof-r1"),
             service.GetAnswers(reader).c_str());
  CHECK(!service.HasAnswer(reader, "ROW lost"));
}

TEST(CommitHolds, WorkThatWaitedIsServedAtOnceWhenTheReplacementIsGivenUp) {
  // Guards against a hold that outlasts its cause, and against statements that
  // wait although their primary may serve them again.
  HeldService service(1);
  const uint64_t session = service.Open(0);
  service.Hold(std::nullopt);
  service.Send(session, "w", "WRITE groyne-1 x");
  service.Advance(milliseconds(400));
  STRCMP_EQUAL("READY I -\n", service.GetAnswers(session).c_str());
  service.Release();
  service.Advance(milliseconds(50));
  CHECK_TEXT(service.HasAnswer(session, "COMPLETE proof-w"),
             service.GetAnswers(session).c_str());
  LONGS_EQUAL(1, service.CountAtFormer("w"));
}

TEST(CommitHolds, AHoldForASuccessorThatCrashesEndsAfterItsPeriod) {
  // Guards against a service that stays without writes because the successor
  // never leads and no VM is left that says so.
  HeldService service(1);
  service.GetGroup().Crash(kSuccessor, true);
  service.Hold(kSuccessor);
  std::vector<uint64_t> sessions;
  for (size_t n = 0; n < 40; ++n) {
    sessions.push_back(service.Open(0));
    service.Send(sessions.back(), "w" + std::to_string(n), "WRITE groyne-1 x");
    service.Advance(milliseconds(100));
  }
  service.Advance(milliseconds(1000));
  for (size_t n = 0; n < sessions.size(); ++n) {
    // The last statement timeout before the end of the period.
    const bool is_served = n >= 20;
    const bool is_refused = n <= 10;
    CHECK_TEXT(!is_served || service.HasAnswer(sessions[n], "COMPLETE"),
               service.GetAnswers(sessions[n]).c_str());
    CHECK_TEXT(!is_refused || service.HasAnswer(sessions[n], "ERROR BUSY"),
               service.GetAnswers(sessions[n]).c_str());
  }
}

TEST(CommitHolds, ARepeatedNoticeKeepsAHoldInForce) {
  // Guards against a hold that ends during a long replacement, and against one
  // that a late notice begins again behind the successor's proof.
  HeldService service(1);
  for (size_t n = 0; n < 6; ++n) {
    service.Hold(kSuccessor);
    const uint64_t session = service.Open(0);
    service.Send(session, "w" + std::to_string(n), "WRITE groyne-1 x");
    service.Advance(milliseconds(950));
    LONGS_EQUAL(0, service.CountExecutions("w" + std::to_string(n)));
  }
  service.Promote(kSuccessor);
  service.Advance(milliseconds(900));
  const uint64_t session = service.Open(0);
  service.Run(session, "after", "WRITE groyne-1 x");
  CHECK(service.IsKept(kSuccessor, "after"));
  // The next primary leads by an order that nobody has announced here.
  service.Hold(kSuccessor);
  service.Promote(1);
  service.Advance(milliseconds(1500));
  service.Run(session, "later", "WRITE groyne-1 x");
  CHECK(service.IsKept(1, "later"));
}

TEST(CommitHolds, TheEffectOfAnOlderOrderGetsNoWrites) {
  // Guards against commits of an endpoint that leads by an older order, and
  // whose term the successor's promotion ends.
  HeldService service(1);
  service.Hold(kSuccessor);
  service.Promote(1);
  service.Advance(milliseconds(300));
  service.Promote(kSuccessor);
  std::vector<uint64_t> sessions;
  for (size_t n = 0; n < 20; ++n) {
    sessions.push_back(service.Open(0));
    service.Send(sessions.back(), "w" + std::to_string(n), "WRITE groyne-1 x");
    service.Advance(milliseconds(50));
  }
  service.Advance(milliseconds(1000));
  CHECK(service.GetGroup().HasPrimaryRole(kSuccessor));
  for (size_t n = 0; n < sessions.size(); ++n) {
    const std::string id = "w" + std::to_string(n);
    LONGS_EQUAL(0, service.CountAtFormer(id));
    LONGS_EQUAL(0, service.CountExecutions(id, service.GetGroup().GetId(1)));
  }
  CHECK(service.HasAnswer(sessions.back(), "COMPLETE"));
}

TEST(CommitHolds, AHolderHoldsTheStatementsOfVmsThatDoNotKnow) {
  // Guards against commits that reach the former primary through a VM which
  // knows of its replacement, sent by one that does not know yet.
  constexpr size_t kVms = 10;
  GroupOptions options = MakeSlowPromotionOptions();
  options.max_connections = 8;
  HeldService service(kVms, options);
  std::vector<std::pair<uint64_t, size_t>> sessions;
  std::vector<bool> is_direct(kVms);
  for (size_t vm = 0; vm < kVms; ++vm) {
    const auto& counters = service.GetSimulation().GetCore(vm).GetCounters();
    const uint64_t before = counters.forwarded;
    const uint64_t session = service.Open(vm);
    service.Send(session, "b" + std::to_string(vm), "BEGIN");
    service.Run(session, "w" + std::to_string(vm), "WRITE groyne-1 x");
    is_direct[vm] = counters.forwarded == before;
    if (!is_direct[vm]) {
      sessions.emplace_back(session, vm);
    }
    service.Advance(milliseconds(20));
  }
  CHECK(sessions.size() >= 2);
  CHECK(sessions.size() < kVms);
  for (size_t vm = 0; vm < kVms; ++vm) {
    if (is_direct[vm]) {
      service.GetSimulation().GetCore(vm).HoldCommits(
          ServiceId{service.GetSimulation().GetService()}, {});
    }
  }
  for (const auto& [session, vm] : sessions) {
    service.Send(session, "c" + std::to_string(vm), "COMMIT");
    const uint64_t other = service.Open(vm);
    service.Send(other, "n" + std::to_string(vm), "WRITE groyne-1 y");
    service.Advance(milliseconds(30));
    CHECK_TEXT(service.HasAnswer(session, "ERROR ABORTED"),
               service.GetAnswers(session).c_str());
    service.Advance(milliseconds(20));
    CHECK_TEXT(!service.HasAnswer(other, "COMPLETE"),
               service.GetAnswers(other).c_str());
  }
  service.Advance(milliseconds(1000));
  for (const auto& [session, vm] : sessions) {
    LONGS_EQUAL(0, service.CountExecutions("c" + std::to_string(vm)));
    LONGS_EQUAL(0, service.CountExecutions("n" + std::to_string(vm)));
    CHECK(!service.IsKept(kFormer, "w" + std::to_string(vm)));
  }
}

TEST(CommitHolds, AnAnnouncedPromotionIsNotOverruledByTheFormerPrimary) {
  // Guards against writes that follow the answer to a transaction which is open
  // at the former primary, until the announced promotion takes effect.
  HeldService service(1);
  const uint64_t open = service.Open(0);
  const uint64_t writer = service.Open(0);
  service.Send(open, "b", "BEGIN");
  service.Run(open, "w0", "WRITE groyne-1 x");
  service.Promote(kSuccessor);
  service.GetSimulation().AnnouncePrimary(
      ServiceId{service.GetSimulation().GetService()},
      EndpointId{service.GetGroup().GetId(kSuccessor)});
  service.Advance(kNoticePeriod);
  service.Run(open, "w1", "WRITE groyne-1 y");
  service.Send(writer, "w2", "WRITE groyne-1 z");
  service.Advance(milliseconds(1200));
  LONGS_EQUAL(1, service.CountAtFormer("w1"));
  LONGS_EQUAL(0, service.CountAtFormer("w2"));
  CHECK_TEXT(service.HasAnswer(writer, "COMPLETE proof-w2"),
             service.GetAnswers(writer).c_str());
}

}  // namespace magnoliareel
