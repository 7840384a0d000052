#include "control/tests/fake_deployment.h"

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

}  // namespace magnoliareel
