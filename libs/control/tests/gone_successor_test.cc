#include <string>

#include "control/tests/fake_deployment.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

TEST_GROUP_BASE(GoneSuccessors, FailoverGroup){
    // db-2 is ordered to lead, and leaves before the order takes effect. db-3
    // lacks what db-1 acknowledged last.
    void OrderAndLose(Duration after = std::chrono::milliseconds(200)){
        SettleOrders();
failover.HandlePrimaryConfirmed(EndpointId{"db-1"}, Term{1});
fake.log_ends["db-3"] = 3;
fake.ineffective_promotions = 1;
failover.Apply(fake.MakeView("db-1"));
fake.Advance(after);
LONGS_EQUAL(1, fake.promotions.size());
STRCMP_EQUAL("db-2", fake.promotions.front().first.c_str());
LoseSuccessor();
}  // namespace magnoliareel

void LoseSuccessor() {
  fake.Remove("db-2");
  failover.Apply(fake.MakeView(""));
}

// Reviews more often than once a second.
void RunShortly(int reviews) {
  for (int n = 0; n < reviews; ++n) {
    failover.Review();
    fake.Advance(std::chrono::milliseconds(100));
  }
}
}
;

TEST(GoneSuccessors, LeaveTheDemotedPrimaryToLeadAgain) {
  // Its departure blocked every promotion, and the service had no primary for
  // ever.
  OrderAndLose();
  RunWithReviews(5);
  STRCMP_EQUAL("db-1", fake.primary.c_str());
}

TEST(GoneSuccessors, LeaveAReplicaWithTheWholeLogToLead) {
  OrderAndLose();
  fake.log_ends["db-3"] = 7;
  RunWithReviews(5);
  STRCMP_EQUAL("db-3", fake.primary.c_str());
}

TEST(GoneSuccessors, LeaveAPrimaryThatWasDemotedBehindTheOrderToLeadAgain) {
  // It had crashed before the order, so that the attempt knew no end of its
  // log.
  SettleOrders();
  failover.HandlePrimaryConfirmed(EndpointId{"db-1"}, Term{1});
  fake.log_ends["db-3"] = 3;
  fake.ineffective_promotions = 1;
  fake.stopped = "db-1";
  failover.HandleConditionReport(
      {EndpointId{"db-1"}, EndpointCondition::kUnreachable});
  fake.Advance(std::chrono::milliseconds(200));
  LONGS_EQUAL(1, fake.promotions.size());
  fake.stopped.clear();
  fake.Advance(std::chrono::milliseconds(200));
  STRCMP_EQUAL("", fake.primary.c_str());
  fake.Remove("db-2");
  failover.Apply(fake.MakeView(""));
  RunWithReviews(5);
  STRCMP_EQUAL("db-1", fake.primary.c_str());
}

TEST(GoneSuccessors, LeaveAPrimaryToLeadAgainThatMissedItsOrder) {
  // It crashed before the effect, and was back as a replica.
  OrderAndLose();
  fake.ineffective_promotions = 1;
  RunWithReviews(10);
  LONGS_EQUAL(3, fake.promotions.size());
  STRCMP_EQUAL("db-1", fake.primary.c_str());
}

TEST(GoneSuccessors, MayLeadWhileTheirOrderIsOpen) {
  OrderAndLose();
  RunShortly(16);
  LONGS_EQUAL(1, fake.promotions.size());
}

TEST(GoneSuccessors, MayLeadWhileTheirOrderHasNoAnswer) {
  SettleOrders();
  failover.HandlePrimaryConfirmed(EndpointId{"db-1"}, Term{1});
  fake.lost_promotion_replies = 4;
  failover.Apply(fake.MakeView("db-1"));
  fake.Advance(std::chrono::milliseconds(200));
  LONGS_EQUAL(4, fake.promotions.size());
  STRCMP_EQUAL("db-2", fake.promotions.front().first.c_str());
  LoseSuccessor();
  RunWithReviews(13);
  LONGS_EQUAL(4, fake.promotions.size());
  RunWithReviews(4);
  STRCMP_EQUAL("db-3", fake.primary.c_str());
}

TEST(GoneSuccessors, MayLeadByAnOrderOfAnotherVm) {
  SettleOrders();
  failover.HandlePrimaryConfirmed(EndpointId{"db-1"}, Term{1});
  Heartbeat heartbeat;
  heartbeat.vm.value = "vm-2";
  heartbeat.address = {"127.0.0.1", 2};
  heartbeat.promotions = {{kFakeService, EndpointId{"db-2"}, 99}};
  failover.HandleHeartbeat(heartbeat);
  fake.primary.clear();
  LoseSuccessor();
  RunWithReviews(13);
  CHECK(fake.promotions.empty());
  RunWithReviews(4);
  STRCMP_EQUAL("db-3", fake.primary.c_str());
}

TEST(GoneSuccessors, LeaveWhatJoinedThroughThemToBeListed) {
  // It is listed within kMembershipDelay after it has joined.
  OrderAndLose(std::chrono::milliseconds(1800));
  RunShortly(9);
  LONGS_EQUAL(1, fake.promotions.size());
  RunShortly(10);
  LONGS_EQUAL(2, fake.promotions.size());
}

TEST(GoneSuccessors, KeepWhatTheyAcknowledgedThroughAReplica) {
  // The order took effect before the successor left.
  OrderAndLose();
  fake.log_terms["db-3"] = 2;
  RunWithReviews(5);
  STRCMP_EQUAL("db-3", fake.primary.c_str());
}

TEST(GoneSuccessors, AcknowledgeNothingThroughTheDemotedPrimary) {
  // One that is not listed may run and lead.
  OrderAndLose();
  fake.log_ends["db-3"] = 7;
  fake.fails_pause = "db-1";
  RunWithReviews(10);
  LONGS_EQUAL(1, fake.promotions.size());
}

TEST(GoneSuccessors, KeepWhatTheyAcknowledgedThroughASilentReplica) {
  OrderAndLose();
  fake.unresponsive = "db-3";
  RunWithReviews(20);
  LONGS_EQUAL(1, fake.promotions.size());
}

TEST(GoneSuccessors, KeepWhatTheyAcknowledgedThroughAReplicaThatHasLeft) {
  OrderAndLose();
  fake.Add("db-4");
  fake.Remove("db-3");
  failover.Apply(fake.MakeView(""));
  RunWithReviews(20);
  LONGS_EQUAL(1, fake.promotions.size());
}

TEST(GoneSuccessors, KeepWhatTheyAcknowledgedThroughAnUnlistedReplica) {
  // While the directory cannot be read, one that has joined is not known.
  OrderAndLose();
  fake.is_store_down = true;
  RunWithReviews(20);
  LONGS_EQUAL(1, fake.promotions.size());
  fake.is_store_down = false;
  RunWithReviews(2);
  STRCMP_EQUAL("db-1", fake.primary.c_str());
}

TEST(GoneSuccessors, LeaveAPrimaryToLeadAgainWhenAllVmsWereLost) {
  // The new holder knew of the primary and the departure from the duty's row
  // only, and of no demotion.
  OrderAndLose();
  failover.StopCoordinating();
  Failover started{fake, fake, fake, fake, peers, VmId{"vm"}, SiteId{"site"}};
  started.Apply(fake.MakeView(""));
  for (int n = 0; n < 20; ++n) {
    started.Review();
    fake.Advance(std::chrono::seconds(1));
  }
  STRCMP_EQUAL("db-1", fake.primary.c_str());
}

}  // namespace magnoliareel
