#include <string>

#include "control/tests/captured_log.h"
#include "control/tests/fake_deployment.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

TEST_GROUP_BASE(OpenOrders, FailoverGroup){
    // The primary is demoted, and no order for its successor has an answer.
    void LoseAnOrder(){SettleOrders();
fake.lost_promotion_replies = 1000;
failover.Apply(fake.MakeView("db-1"));
CHECK(!fake.promotions.empty());
CHECK(!fake.paused.empty());
fake.is_store_down = true;
}  // namespace magnoliareel

void ProveOldPrimary() {
  failover.HandlePrimaryConfirmed(EndpointId{"db-1"}, Term{1});
  RunWithReviews(1);
}
}
;

TEST(OpenOrders, KeepThePausesWhenTheOldPrimaryIsProved) {
  // An order without an answer was carried out seconds after the replicas
  // received from the old primary again (LOST).
  LoseAnOrder();
  for (int n = 0; n < 12; ++n) {
    ProveOldPrimary();
    CHECK(!fake.paused.empty());
  }
}

TEST(OpenOrders, EndOnceTheyCannotBeCarriedOutAnyMore) {
  // Replicas that stay paused let no commit be acknowledged.
  LoseAnOrder();
  fake.Advance(kLostPromotionRetention);
  ProveOldPrimary();
  ProveOldPrimary();
  CHECK(fake.paused.empty());
  Heartbeat heartbeat;
  failover.FillHeartbeat(heartbeat);
  CHECK(heartbeat.replacements.empty());
}

TEST(OpenOrders, WithoutAnAnswerAreRepeatedUnderANewerToken) {
  LoseAnOrder();
  const auto [endpoint, token] = fake.promotions.back();
  fake.is_store_down = false;
  fake.lost_promotion_replies = 0;
  RunWithReviews(6);
  STRCMP_EQUAL(endpoint.c_str(), fake.primary.c_str());
  CHECK(fake.promotions.back().second > token);
  CHECK(fake.paused.empty());
}

TEST(OpenOrders, ThatAreNotConfirmedLeaveTheFormerPrimaryToBeDemoted) {
  // It was listed among the replicas, and nobody demoted it before the next
  // order.
  SettleOrders();
  fake.ineffective_promotions = 1;
  failover.Apply(fake.MakeView("db-1"));
  const std::string first = fake.promotions.back().first;
  fake.Advance(std::chrono::milliseconds(1950));
  fake.primary = "db-1";
  const size_t demotions = fake.demoted.size();
  LONGS_EQUAL(1, fake.promotions.size());
  CapturedLog log;
  fake.Advance(std::chrono::milliseconds(400));
  CHECK(fake.promotions.size() > 1);
  CHECK(fake.demoted.size() > demotions);
  const auto done = log.ListLines("replacement.done");
  LONGS_EQUAL(1, done.size());
  CheckFields(done[0], "demotion=demoted former=db-1");
  CHECK(fake.promotions.back().first == first || fake.paused.contains(first));
}

TEST(OpenOrders, ThatAreNotConfirmedLeaveAFormerPrimaryThatWasPromotedSince) {
  // Another VM has promoted it again.
  SettleOrders();
  fake.ineffective_promotions = 1;
  failover.Apply(fake.MakeView("db-1"));
  fake.Advance(std::chrono::milliseconds(1950));
  fake.primary = "db-1";
  fake.term = 2;
  fake.Advance(std::chrono::milliseconds(400));
  LONGS_EQUAL(1, fake.promotions.size());
  STRCMP_EQUAL("db-1", fake.primary.c_str());
}

}  // namespace magnoliareel
