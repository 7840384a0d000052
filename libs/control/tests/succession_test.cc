#include "control/tests/fake_deployment.h"

#include <vector>

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

TEST_GROUP_BASE(Succession, FailoverGroup){
    // The former holder of the duty has paused db-3.
    void ClaimWithAPausedReplica(){fake.paused["db-3"] = Term{2};
failover.Apply(fake.MakeView(""));
failover.HandlePrimaryConfirmed(EndpointId{"db-1"}, Term{1});
while (failover.ListDuties().empty()) {
  failover.Review();
  fake.Advance(std::chrono::milliseconds(100));
}
}  // namespace magnoliareel

// Another VM announces an order for db-3.
void HearOfAnOrder() {
  Heartbeat heartbeat;
  heartbeat.vm.value = "vm-2";
  heartbeat.address = {"127.0.0.1", 2};
  heartbeat.replacements = {{kFakeService, EndpointId{"db-3"}, 1}};
  failover.HandleHeartbeat(heartbeat);
}
}
;

TEST(Succession, LeavesThePausesOfAnOrderThatIsStillToTakeEffect) {
  // The new holder resumed them at once, and the old primary acknowledged
  // commits until the order of the former holder took effect (LOST).
  ClaimWithAPausedReplica();
  fake.Advance(std::chrono::milliseconds(1500));
  CHECK(fake.paused.contains("db-3"));
  RunWithReviews(4);
  CHECK(fake.paused.empty());
}

TEST(Succession, EndsThePausesOnceANewTermIsProved) {
  ClaimWithAPausedReplica();
  fake.primary = "db-2";
  fake.term = 2;
  failover.HandlePrimaryConfirmed(EndpointId{"db-2"}, Term{2});
  failover.Review();
  fake.Advance(std::chrono::milliseconds(100));
  CHECK(fake.paused.empty());
}

TEST(Succession, EndsALatePauseOfTheFormerHoldersOrder) {
  // The replica was asked once, and stayed paused until the next promotion. A
  // newer pause is that of another attempt.
  ClaimWithAPausedReplica();
  fake.primary = "db-2";
  fake.term = 2;
  failover.HandlePrimaryConfirmed(EndpointId{"db-2"}, Term{2});
  RunWithReviews(1);
  CHECK(fake.paused.empty());
  fake.paused["db-3"] = Term{2};
  RunWithReviews(3);
  CHECK(fake.paused.empty());
  fake.paused["db-3"] = Term{3};
  RunWithReviews(3);
  CHECK(fake.paused.contains("db-3"));
}

TEST(Succession, LeavesThePausesOfAnotherVmsReplacement) {
  // Attempts of two VMs may pause replicas at the same term. The one that was
  // abandoned took the other's pause for its own and ended it (LOST).
  SettleOrders();
  fake.Add("db-4");
  fake.fails_pause = "db-4";
  failover.Apply(fake.MakeView("db-1"));
  CHECK(fake.promotions.empty());
  const Term term = fake.paused.at("db-3");
  fake.unresponsive = "db-4";
  Heartbeat heartbeat;
  heartbeat.vm.value = "vm-2";
  heartbeat.address = {"127.0.0.1", 2};
  heartbeat.replacements = {{kFakeService, EndpointId{"db-2"}, 99}};
  failover.HandleHeartbeat(heartbeat);
  fake.paused["db-3"] = term;
  RunWithReviews(3);
  CHECK(fake.paused.contains("db-3"));
}

TEST(Succession, NamesTheEndpointOfTheFormerHoldersOrder) {
  // Two orders for two endpoints took effect one after the other, and what the
  // first leader acknowledged was lost.
  failover.Apply(fake.MakeView(""));
  HearOfAnOrder();
  fake.stopped = "db-1";
  failover.HandleConditionReport(
      {EndpointId{"db-1"}, EndpointCondition::kUnreachable});
  RunWithReviews(4);
  CHECK(!fake.promotions.empty());
  STRCMP_EQUAL("db-3", fake.promotions.front().first.c_str());
}

TEST(Succession, ForgetsAnOrderThatHasTakenEffect) {
  failover.Apply(fake.MakeView(""));
  HearOfAnOrder();
  failover.HandlePrimaryConfirmed(EndpointId{"db-3"}, Term{2});
  HearOfAnOrder();
  failover.HandlePrimaryConfirmed(EndpointId{"db-1"}, Term{3});
  fake.stopped = "db-1";
  failover.HandleConditionReport(
      {EndpointId{"db-1"}, EndpointCondition::kUnreachable});
  RunWithReviews(4);
  CHECK(!fake.promotions.empty());
  STRCMP_EQUAL("db-2", fake.promotions.front().first.c_str());
}

/** A VM that takes the duty over from vm-2, which was killed behind an order
    for db-3 under token 1. */
struct InheritedOrderGroup : FailoverGroup {
  // Hears of the order.
  void HearOfAnOrder() {
    RecordClaimOfAnotherVm(0);
    failover.Apply(fake.MakeView(""));
    failover.HandlePrimaryConfirmed(EndpointId{"db-1"}, Term{1});
    Heartbeat heartbeat;
    heartbeat.vm.value = "vm-2";
    heartbeat.address = {"127.0.0.1", 2};
    heartbeat.duties = {{kFakeService, 1}};
    heartbeat.replacements = {{kFakeService, EndpointId{"db-3"}, 1}};
    peers.RecordHeartbeat(heartbeat, fake.Now());
    failover.HandleHeartbeat(heartbeat);
  }

  // The row of the duty has the next version.
  void RecordClaimOfAnotherVm(uint64_t version) {
    fake.WriteIf("", "", FakeDutyRowCodec::Encode({VmId{"vm-2"}, {}}), version,
                 [](std::error_code, const StoredRows&) {});
  }

  // Takes the duty over.
  void ClaimTheDuty() {
    fake.Advance(kPeerTimeout);
    peers.Sweep(fake.Now());
    failover.Review();
    CHECK(!failover.ListDuties().empty());
  }

  std::vector<ReplacementNotice> ListNotices() {
    Heartbeat heartbeat;
    failover.FillHeartbeat(heartbeat);
    return heartbeat.replacements;
  }
};

TEST_GROUP_BASE(InheritedOrder, InheritedOrderGroup){};

TEST(InheritedOrder, IsHeldAndGuardedByTheNewHolder) {
  // The former primary, which had crashed and led its old term again,
  // acknowledged commits until the order took effect (LOST).
  HearOfAnOrder();
  fake.rejected_promotions = 1000;
  ClaimTheDuty();
  const uint64_t token = failover.ListDuties().front().second;
  CHECK(token > 1);
  const std::vector<ReplacementNotice> expected = {
      {kFakeService, EndpointId{"db-3"}, token}};
  CHECK(ListNotices() == expected);
  fake.Advance(kOrderGuardInterval);
  CHECK(fake.primary.empty());
  fake.primary = "db-1";
  fake.paused.clear();
  fake.Advance(kOrderGuardInterval);
  CHECK(fake.primary.empty());
  CHECK(fake.paused.contains("db-2"));
}

TEST(InheritedOrder, EndsWithAProofOfTheNewTerm) {
  HearOfAnOrder();
  ClaimTheDuty();
  fake.primary = "db-3";
  fake.term = 2;
  fake.Advance(kOrderGuardInterval);
  CHECK(ListNotices().empty());
  fake.demoted.clear();
  RunWithReviews(2);
  CHECK(fake.demoted.empty());
  CHECK(fake.paused.empty());
  STRCMP_EQUAL("db-3", fake.primary.c_str());
}

TEST(InheritedOrder, IsOrderedAgainUnderTheNewToken) {
  // The former holder's order may never have reached the platform.
  HearOfAnOrder();
  ClaimTheDuty();
  RunWithReviews(4);
  STRCMP_EQUAL("db-3", fake.primary.c_str());
  LONGS_EQUAL(2, fake.term);
  failover.HandlePrimaryConfirmed(EndpointId{"db-3"}, Term{2});
  RunWithReviews(2);
  CHECK(fake.paused.empty());
  CHECK(ListNotices().empty());
}

TEST(InheritedOrder, IsTheLatestOneOfItsHolder) {
  // The holder orders twice under its token, and still announces its first
  // promotion. The new holder guarded that one, and demoted the second leader.
  HearOfAnOrder();
  failover.HandlePrimaryConfirmed(EndpointId{"db-3"}, Term{2});
  Heartbeat heartbeat;
  heartbeat.vm.value = "vm-2";
  heartbeat.address = {"127.0.0.1", 2};
  heartbeat.duties = {{kFakeService, 1}};
  heartbeat.promotions = {{kFakeService, EndpointId{"db-3"}, 1}};
  peers.RecordHeartbeat(heartbeat, fake.Now());
  failover.HandleHeartbeat(heartbeat);
  heartbeat.replacements = {{kFakeService, EndpointId{"db-2"}, 1}};
  peers.RecordHeartbeat(heartbeat, fake.Now());
  failover.HandleHeartbeat(heartbeat);
  failover.HandlePrimaryConfirmed(EndpointId{"db-2"}, Term{3});
  fake.primary = "db-2";
  fake.term = 3;
  ClaimTheDuty();
  fake.Advance(std::chrono::seconds(1));
  CHECK(fake.demoted.empty());
  STRCMP_EQUAL("db-2", fake.primary.c_str());
}

TEST(InheritedOrder, ThatItsHolderHasGivenUpIsNotHeld) {
  // The new holder would replace a primary that works.
  HearOfAnOrder();
  Heartbeat ended;
  ended.vm.value = "vm-2";
  ended.address = {"127.0.0.1", 2};
  ended.duties = {{kFakeService, 1}};
  peers.RecordHeartbeat(ended, fake.Now());
  failover.HandleHeartbeat(ended);
  ClaimTheDuty();
  CHECK(ListNotices().empty());
  RunWithReviews(4);
  STRCMP_EQUAL("db-1", fake.primary.c_str());
}

TEST(InheritedOrder, ThatCannotTakeEffectAnyMoreIsNotHeld) {
  HearOfAnOrder();
  fake.Advance(kLostPromotionRetention);
  ClaimTheDuty();
  CHECK(ListNotices().empty());
  RunWithReviews(4);
  STRCMP_EQUAL("db-1", fake.primary.c_str());
}

TEST(InheritedOrder, LeavesTheReplicasOfALeaderThatIsConfirmed) {
  // The order had taken effect when the VM heard of it. Pauses would keep the
  // new primary from acknowledging.
  RecordClaimOfAnotherVm(0);
  failover.Apply(fake.MakeView(""));
  fake.primary = "db-3";
  fake.term = 2;
  failover.HandlePrimaryConfirmed(EndpointId{"db-3"}, Term{2});
  HearOfAnOrder();
  ClaimTheDuty();
  fake.Advance(std::chrono::seconds(1));
  CHECK(fake.paused.empty());
  STRCMP_EQUAL("db-3", fake.primary.c_str());
}

TEST(InheritedOrder, IsNotPreferredOnceItHasTakenEffect) {
  // The next promotion named its endpoint, though another one had received
  // more.
  HearOfAnOrder();
  ClaimTheDuty();
  failover.HandlePrimaryConfirmed(EndpointId{"db-3"}, Term{2});
  failover.HandlePrimaryConfirmed(EndpointId{"db-1"}, Term{3});
  fake.primary = "db-1";
  fake.term = 3;
  fake.log_ends["db-2"] = 9;
  fake.promotions.clear();
  fake.stopped = "db-1";
  failover.HandleConditionReport(
      {EndpointId{"db-1"}, EndpointCondition::kUnreachable});
  fake.Advance(std::chrono::milliseconds(1500));
  CHECK(!fake.promotions.empty());
  STRCMP_EQUAL("db-2", fake.promotions.front().first.c_str());
}

}  // namespace magnoliareel
