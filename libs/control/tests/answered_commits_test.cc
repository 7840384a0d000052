#include "control/failover/answered_commits.h"

#include <optional>
#include <string>
#include <utility>

#include "control/tests/captured_log.h"
#include "control/tests/fake_deployment.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;

constexpr LogPoint MakePoint(uint64_t term, uint64_t position) {
  return {Term{term}, LogPosition{position}};
}

}  // namespace

/** A failover whose VM holds the duty, in a group whose replicas have received
    1.7. */
struct AnsweredCommitGroup : FailoverGroup {
  /** Adds another VM, which sends heartbeats. */
  void AddPeer(const char* vm, uint16_t port, bool leaving = false) {
    Heartbeat heartbeat;
    heartbeat.vm.value = vm;
    heartbeat.address = {"127.0.0.1", port};
    heartbeat.leaving = leaving;
    peers.RecordHeartbeat(heartbeat, fake.Now());
  }

  /** The primary crashes and stays listed. */
  void StopPrimary() {
    fake.stopped = "db-1";
    failover.HandleConditionReport(
        {EndpointId{"db-1"}, EndpointCondition::kUnreachable});
  }

  /** The primary, which alone holds 1.8, drains and is demoted. Returns when
      this VM's part of the comparison has ended. */
  void DrainPrimary() {
    fake.log_ends["db-1"] = 8;
    failover.Apply(fake.MakeView("db-1"));
    for (int n = 0;
         n < 200 && fake.promotions.empty() && fake.answer_queries.empty();
         ++n) {
      fake.Advance(milliseconds(10));
    }
  }

  void Respond(const char* vm, std::optional<LogPoint> point) {
    failover.HandleAnsweredCommitResponse(
        {fake.answer_queries.back().second.id, VmId{vm}, point});
  }
};

TEST_GROUP_BASE(AnsweredCommits, AnsweredCommitGroup){};

TEST(AnsweredCommits, ThatNoListedReplicaHoldsBlockAPromotion) {
  // A replica that joined acknowledged a commit, and the primary crashed before
  // the directory listed it: one without the commit was promoted (LOST).
  SettleOrders();
  fake.answered = MakePoint(1, 8);
  CapturedLog log;
  StopPrimary();
  RunWithReviews(30);
  CHECK(fake.promotions.empty());
  const auto missing = log.ListLines("replacement.commit_missing");
  LONGS_EQUAL(1, missing.size());
  CheckFields(missing[0],
              "service=groyne-logs received=1.7 answered=1.8 vm=vm");
  const auto abandoned = log.ListLines("replacement.abandoned");
  CHECK(abandoned.size() > 10);
  CHECK(abandoned[0].find("no listed replica holds an answered commit") !=
        std::string::npos);
  // Listed, it is compared and promoted.
  fake.log_ends["db-4"] = 8;
  fake.Add("db-4");
  failover.Apply(fake.MakeView(""));
  RunWithReviews(2);
  STRCMP_EQUAL("db-4", fake.primary.c_str());
}

TEST(AnsweredCommits, ThatTheCandidateHoldsBlockNothing) {
  SettleOrders();
  fake.answered = MakePoint(1, 7);
  StopPrimary();
  LONGS_EQUAL(1, fake.promotions.size());
}

TEST(AnsweredCommits, OfAnEarlierTermBlockNothing) {
  // Positions of terms that don't follow each other cannot be compared.
  SettleOrders();
  fake.answered = MakePoint(1, 9);
  fake.log_terms = {{"db-2", 2}, {"db-3", 2}};
  StopPrimary();
  LONGS_EQUAL(1, fake.promotions.size());
}

TEST(AnsweredCommits, ThatOnlyTheDemotedPrimaryHoldsLetItLeadAgain) {
  // The replica that had acknowledged the commit left before it was listed, so
  // that the end of the demoted primary's log passed for one that nobody had
  // acknowledged (LOST).
  SettleOrders();
  fake.answered = MakePoint(1, 8);
  CapturedLog log;
  DrainPrimary();
  LONGS_EQUAL(1, fake.promotions.size());
  STRCMP_EQUAL("db-1", fake.primary.c_str());
  LONGS_EQUAL(1, log.ListLines("replacement.commit_missing").size());
  CheckFields(log.ListLines("replacement.done").at(0), "check=promoted_again");
}

TEST(AnsweredCommits, ThatNobodyHasAnsweredMayBeLeftBehind) {
  // The end of the demoted primary's log, without an answer to any VM.
  SettleOrders();
  fake.answered = MakePoint(1, 7);
  DrainPrimary();
  STRCMP_EQUAL("db-2", fake.primary.c_str());
}

TEST(AnsweredCommits, OfServicesWithoutAcknowledgingReplicasBlockNothing) {
  // The primary alone holds them, so that a crash loses them in any case.
  fake.SetSyncReplicas(0);
  SettleOrders();
  fake.answered = MakePoint(1, 8);
  AddPeer("vm-2", 7002);
  DrainPrimary();
  STRCMP_EQUAL("db-2", fake.primary.c_str());
  CHECK(fake.answer_queries.empty());
}

TEST(AnsweredCommits, OfAnotherVmBlockAPromotion) {
  SettleOrders();
  AddPeer("vm-2", 7002);
  CapturedLog log;
  DrainPrimary();
  LONGS_EQUAL(1, fake.answer_queries.size());
  CHECK(fake.answer_queries.back().first == SocketAddress("127.0.0.1", 7002));
  CHECK(fake.answer_queries.back().second.service == kFakeService);
  CHECK(fake.promotions.empty());
  Respond("vm-2", MakePoint(1, 8));
  STRCMP_EQUAL("db-1", fake.promotions.at(0).first.c_str());
  CheckFields(log.ListLines("replacement.commit_missing").at(0), "vm=vm-2");
}

TEST(AnsweredCommits, OfAnotherVmThatTheCandidateHoldsBlockNothing) {
  SettleOrders();
  AddPeer("vm-2", 7002);
  DrainPrimary();
  Respond("vm-2", MakePoint(1, 7));
  STRCMP_EQUAL("db-2", fake.promotions.at(0).first.c_str());
}

TEST(AnsweredCommits, AreAskedForOfAVmThatShutsDown) {
  // It drains its callers, and is not among the live VMs any more.
  SettleOrders();
  AddPeer("vm-2", 7002, true);
  DrainPrimary();
  LONGS_EQUAL(1, fake.answer_queries.size());
  Respond("vm-2", MakePoint(1, 8));
  STRCMP_EQUAL("db-1", fake.promotions.at(0).first.c_str());
}

TEST(AnsweredCommits, ASilentVmDelaysAPromotionAndBlocksNone) {
  SettleOrders();
  AddPeer("vm-2", 7002);
  AddPeer("vm-3", 7003);
  DrainPrimary();
  LONGS_EQUAL(2, fake.answer_queries.size());
  Respond("vm-3", std::nullopt);
  fake.Advance(kAnsweredCommitTimeout - milliseconds(11));
  CHECK(fake.promotions.empty());
  // Asked again, since a datagram may be lost; the other one is not.
  LONGS_EQUAL(2 + 5, fake.answer_queries.size());
  CHECK(fake.answer_queries.back().first == SocketAddress("127.0.0.1", 7002));
  fake.Advance(milliseconds(11));
  STRCMP_EQUAL("db-2", fake.promotions.at(0).first.c_str());
  // A late response is ignored.
  Respond("vm-2", MakePoint(1, 8));
  LONGS_EQUAL(1, fake.promotions.size());
}

TEST(AnsweredCommits, AreToldToAnotherVm) {
  fake.answered = MakePoint(3, 12);
  const SocketAddress asking{"127.0.0.1", 7002};
  failover.HandleAnsweredCommitQuery({8, asking, kFakeService});
  LONGS_EQUAL(1, fake.answer_responses.size());
  CHECK(fake.answer_responses[0].first == asking);
  CHECK(fake.answer_responses[0].second ==
        AnsweredCommitResponse(8, VmId{"vm"}, MakePoint(3, 12)));
}

}  // namespace magnoliareel
