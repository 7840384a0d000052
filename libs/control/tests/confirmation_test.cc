#include <string>
#include <vector>

#include "control/tests/fake_deployment.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

/** A failover that orders the present primary to lead, which fences older
    orders. */
struct ConfirmationGroup : FailoverGroup {
  // Another VM has claimed the duty.
  void ClaimForAnotherVm() {
    StoredRows rows;
    fake.Get("", "",
             [&](std::error_code, const StoredRows& read) { rows = read; });
    fake.WriteIf("", "", FakeDutyRowCodec::Encode({VmId{"vm-2"}, {}}),
                 rows.rows.empty() ? 0 : rows.rows.front().version,
                 [](std::error_code ec, const StoredRows&) { CHECK(!ec); });
  }

  void ClaimDuty() {
    failover.Apply(fake.MakeView(""));
    for (int n = 0; n < 50 && failover.ListDuties().empty(); ++n) {
      failover.Review();
      fake.Advance(std::chrono::milliseconds(100));
    }
    CHECK(!failover.ListDuties().empty());
  }

  // The only other VM falls silent.
  void LosePeer() {
    Heartbeat heartbeat;
    heartbeat.vm.value = "vm-2";
    heartbeat.address = {"127.0.0.1", 2};
    peers.RecordHeartbeat(heartbeat, fake.Now());
    fake.Advance(2 * kHeartbeatPeriod);
  }

  std::vector<ReplacementNotice> ListNotices() {
    Heartbeat heartbeat;
    failover.FillHeartbeat(heartbeat);
    return heartbeat.replacements;
  }
};

TEST_GROUP_BASE(Confirmations, ConfirmationGroup){};

TEST(Confirmations, WaitForTheOrdersOfTheFormerHolder) {
  // One was accepted a second before, and took effect between the report of the
  // primary and the confirmation, which became a promotion (LOST 5).
  ClaimForAnotherVm();
  ClaimDuty();
  CHECK(fake.promotions.empty());
  fake.Advance(kPromotionTimeout - std::chrono::milliseconds(200));
  failover.Review();
  CHECK(fake.promotions.empty());
  fake.Advance(std::chrono::milliseconds(200));
  LONGS_EQUAL(1, fake.promotions.size());
  STRCMP_EQUAL("db-1", fake.promotions.front().first.c_str());
}

TEST(Confirmations, OfADutyThatNobodyHeldAreNotDelayed) {
  // Until then, a primary that drains is not replaced.
  ClaimDuty();
  LONGS_EQUAL(1, fake.promotions.size());
}

TEST(Confirmations, OfADutyThatThisVmHeldBeforeAreNotDelayed) {
  failover.Apply(fake.MakeView(""));
  fake.lost_promotion_replies = 1;
  RunWithReviews(4);
  LONGS_EQUAL(1, fake.promotions.size());
  RunWithReviews(1);
  LONGS_EQUAL(2, fake.promotions.size());
}

TEST(Confirmations, HoldAllCommitsWhileAnotherOrderMayTakeEffect) {
  // The successor of the open order led between the two effects, and its
  // commits were lost with that of the confirmation.
  SettleOrders();
  fake.lost_promotion_replies = 1000;
  failover.Apply(fake.MakeView("db-1"));
  CHECK(!fake.promotions.empty());
  fake.lost_promotion_replies = 0;
  fake.promotions.clear();
  // Another VM has promoted it again.
  fake.primary = "db-1";
  fake.term = 2;
  failover.Apply(fake.MakeView(""));
  failover.HandlePrimaryConfirmed(EndpointId{"db-1"}, Term{2});
  for (int n = 0; n < 50 && fake.promotions.empty(); ++n) {
    fake.Advance(std::chrono::milliseconds(100));
    failover.Review();
  }
  CHECK(!fake.promotions.empty());
  STRCMP_EQUAL("db-1", fake.promotions.front().first.c_str());
  LONGS_EQUAL(1, ListNotices().size());
  CHECK(ListNotices()[0].successor.IsEmpty());
  CHECK_EQUAL(fake.promotions.front().second, ListNotices()[0].fencing_token);
  fake.Advance(kPromotionTimeout - std::chrono::milliseconds(200));
  LONGS_EQUAL(1, ListNotices().size());
  fake.Advance(std::chrono::milliseconds(400));
  CHECK(ListNotices().empty());
}

TEST(Confirmations, HoldCommitsIfAnotherEndpointLeadsBeforeTheirEffect) {
  // The confirmed one leads again a moment later, without them.
  ClaimDuty();
  LONGS_EQUAL(1, fake.promotions.size());
  failover.HandlePrimaryConfirmed(EndpointId{"db-1"}, Term{1});
  CHECK(ListNotices().empty());
  failover.HandlePrimaryConfirmed(EndpointId{"db-2"}, Term{2});
  LONGS_EQUAL(1, ListNotices().size());
  STRCMP_EQUAL("db-1", ListNotices()[0].successor.value.c_str());
  failover.HandlePrimaryConfirmed(EndpointId{"db-1"}, Term{3});
  CHECK(ListNotices().empty());
}

TEST(Confirmations, ReleaseCommitsOnceTheyCannotTakeEffectAnyMore) {
  ClaimDuty();
  failover.HandlePrimaryConfirmed(EndpointId{"db-2"}, Term{2});
  LONGS_EQUAL(1, ListNotices().size());
  fake.Advance(kPromotionTimeout + std::chrono::milliseconds(200));
  CHECK(ListNotices().empty());
  failover.HandlePrimaryConfirmed(EndpointId{"db-3"}, Term{3});
  CHECK(ListNotices().empty());
}

TEST_GROUP_BASE(DutyChecks, ConfirmationGroup){};

TEST(DutyChecks, StopTheOrderOfAVmThatHasLostItsDuty) {
  // It had stood still. Its order was accepted before the first call of the
  // next holder, whose own order followed (LOST 6).
  SettleOrders();
  LosePeer();
  ClaimForAnotherVm();
  failover.Apply(fake.MakeView("db-1"));
  CHECK(fake.promotions.empty());
  CHECK(failover.ListDuties().empty());
}

TEST(DutyChecks, StopTheConfirmationOfAVmThatHasLostItsDuty) {
  fake.unresponsive = "db-1";
  ClaimDuty();
  LosePeer();
  ClaimForAnotherVm();
  fake.unresponsive.clear();
  RunWithReviews(2);
  CHECK(fake.promotions.empty());
  CHECK(failover.ListDuties().empty());
}

TEST(DutyChecks, StopTheOrderOfAVmThatHearsOfANewerClaim) {
  // It had heard of the claim since its attempt began.
  SettleOrders();
  fake.log_ends["db-1"] = 9;
  failover.Apply(fake.MakeView("db-1"));
  CHECK(!fake.demoted.empty());
  CHECK(fake.promotions.empty());
  Heartbeat heartbeat;
  heartbeat.vm.value = "vm-2";
  heartbeat.address = {"127.0.0.1", 2};
  heartbeat.duties = {{kFakeService, 99}};
  peers.RecordHeartbeat(heartbeat, fake.Now());
  RunWithReviews(3);
  CHECK(fake.promotions.empty());
}

TEST(DutyChecks, LetAVmOrderThatHearsNoOther) {
  SettleOrders();
  LosePeer();
  failover.Apply(fake.MakeView("db-1"));
  LONGS_EQUAL(1, fake.promotions.size());
}

}  // namespace magnoliareel
