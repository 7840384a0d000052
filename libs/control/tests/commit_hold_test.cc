#include <string>
#include <vector>

#include "control/tests/fake_deployment.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

/** A failover whose holds and heartbeats are recorded. */
struct CommitHoldGroup : FailoverGroup {
  std::string JoinSteps() const {
    std::string text;
    for (const std::string& it : fake.hold_steps) {
      text += it + ";";
    }
    return text;
  }

  std::vector<ReplacementNotice> ListNotices() {
    Heartbeat heartbeat;
    failover.FillHeartbeat(heartbeat);
    return heartbeat.replacements;
  }

  void Begin() {
    SettleOrders();
    fake.hold_steps.clear();
    fake.hold_count = 0;
  }

  Heartbeat MakeHeartbeat(const char* vm, uint64_t token) const {
    Heartbeat heartbeat;
    heartbeat.vm.value = vm;
    heartbeat.address = {"127.0.0.1", static_cast<uint16_t>(token)};
    heartbeat.replacements = {{kFakeService, EndpointId{"db-2"}, token}};
    return heartbeat;
  }

  void Receive(const Heartbeat& heartbeat) {
    peers.RecordHeartbeat(heartbeat, fake.Now());
    failover.HandleHeartbeat(heartbeat);
  }
};

TEST_GROUP_BASE(CommitHold, CommitHoldGroup){};

TEST(CommitHold, IsAnnouncedBeforeTheDemotionAndTheOrderAndRepeated) {
  // Guards against commits that a VM without the news sends to the former
  // primary, which leads again after its demotion (LOST).
  Begin();
  fake.ineffective_promotions = 1;
  failover.Apply(fake.MakeView("db-1"));
  CHECK(!fake.promotions.empty());
  const std::string next = fake.promotions.back().first;
  STRCMP_EQUAL(("heartbeat;hold ;demote db-1;heartbeat;hold " + next +
                ";promote " + next + ";heartbeat;")
                   .c_str(),
               JoinSteps().c_str());
  LONGS_EQUAL(1, ListNotices().size());
  STRCMP_EQUAL(next.c_str(), ListNotices()[0].successor.value.c_str());
  CHECK_EQUAL(fake.promotions.back().second, ListNotices()[0].fencing_token);
  fake.hold_steps.clear();
  fake.Advance(kHoldNoticeRepeatDelay);
  CHECK(JoinSteps().find("heartbeat;") != std::string::npos);
  const int before = fake.hold_count;
  fake.Advance(std::chrono::seconds(1));
  CHECK(fake.hold_count - before >= 9);
  LONGS_EQUAL(1, std::count(fake.hold_steps.begin(), fake.hold_steps.end(),
                            std::string("heartbeat")));
}

TEST(CommitHold, BeginsBeforeTheLastComparisonIfThePrimaryIsNotReached) {
  // The primary served open connections until the order, which was behind what
  // it acknowledged after the comparison (LOST).
  Begin();
  fake.stopped = "db-1";
  fake.Remove("db-1");
  fake.on_directory_read = [this] {
    fake.hold_steps.emplace_back("read directory");
  };
  failover.Apply(fake.GetView());
  RunWithReviews(3);
  CHECK(!fake.promotions.empty());
  const std::string steps = JoinSteps();
  CHECK(steps.find("hold ;") < steps.find("read directory;"));
  CHECK(steps.find("read directory;") < steps.find("promote "));
}

TEST(CommitHold, EndsWithAProofOfTheNewTerm) {
  Begin();
  failover.Apply(fake.MakeView("db-1"));
  fake.hold_steps.clear();
  failover.HandlePrimaryConfirmed(EndpointId{"db-1"}, Term{1});
  LONGS_EQUAL(1, ListNotices().size());
  failover.HandlePrimaryConfirmed(EndpointId{fake.primary}, Term{fake.term});
  STRCMP_EQUAL("release;heartbeat;", JoinSteps().c_str());
  CHECK(ListNotices().empty());
}

TEST(CommitHold, EndsWithARefusedOrder) {
  // Commits would have nowhere to go until the next attempt.
  Begin();
  fake.rejected_promotions = 1;
  failover.Apply(fake.MakeView("db-1"));
  CHECK(JoinSteps().ends_with("release;heartbeat;"));
  CHECK(ListNotices().empty());
}

TEST(CommitHold, OutlastsATakeoverUntilItsOrderHasTakenEffect) {
  // The takeover released the commits of all VMs, and the former primary
  // acknowledged them before the order took effect (LOST).
  Begin();
  fake.ineffective_promotions = 1;
  failover.Apply(fake.MakeView("db-1"));
  LONGS_EQUAL(1, ListNotices().size());
  Heartbeat heartbeat;
  heartbeat.vm.value = "vm-2";
  heartbeat.address = {"127.0.0.1", 2};
  heartbeat.duties = {{kFakeService, ListNotices()[0].fencing_token + 1}};
  peers.RecordHeartbeat(heartbeat, fake.Now());
  failover.HandleHeartbeat(heartbeat);
  failover.Review();
  LONGS_EQUAL(1, ListNotices().size());
  fake.Advance(kPromotionTimeout);
  failover.Review();
  CHECK(ListNotices().empty());
}

TEST(CommitHold, FollowsTheNoticesOfAnotherVm) {
  Begin();
  Receive(MakeHeartbeat("vm-2", 50));
  STRCMP_EQUAL("hold db-2;", JoinSteps().c_str());
  Receive(MakeHeartbeat("vm-2", 50));
  LONGS_EQUAL(2, fake.hold_count);
  Heartbeat ended = MakeHeartbeat("vm-3", 51);
  ended.replacements.clear();
  Receive(ended);
  STRCMP_EQUAL("hold db-2;", JoinSteps().c_str());
  ended.vm.value = "vm-2";
  Receive(ended);
  STRCMP_EQUAL("hold db-2;release;", JoinSteps().c_str());
}

TEST(CommitHold, IgnoresTheNoticeOfAFormerHolder) {
  // It would hold the commits of a primary that the present holder has ordered.
  Begin();
  Receive(MakeHeartbeat("vm-2", 50));
  STRCMP_EQUAL("hold db-2;", JoinSteps().c_str());
  fake.hold_steps.clear();
  Heartbeat former = MakeHeartbeat("vm-3", 49);
  former.replacements[0].successor.value = "db-3";
  Receive(former);
  CHECK(fake.hold_steps.empty());
}

/** A failover that hears of the order of another VM, vm-2. */
struct RelayedHoldGroup : CommitHoldGroup {
  // A heartbeat of the holder while its order is open.
  Heartbeat MakeHoldersHeartbeat() const {
    Heartbeat heartbeat = MakeHeartbeat("vm-2", 50);
    heartbeat.duties = {{kFakeService, 50}};
    return heartbeat;
  }

  // A heartbeat of another VM that passes the notice on.
  Heartbeat MakeRelay() const { return MakeHeartbeat("vm-3", 50); }

  void HearOfTheOrder() {
    Begin();
    Receive(MakeHoldersHeartbeat());
    STRCMP_EQUAL("hold db-2;", JoinSteps().c_str());
  }
};

TEST_GROUP_BASE(RelayedHold, RelayedHoldGroup){};

TEST(RelayedHold, ReachesAVmThatStartsAfterTheHolderWasKilled) {
  // Nobody told it of the order, and it sent commits to the former primary,
  // which had crashed and led its old term again (LOST).
  HearOfTheOrder();
  const std::vector<ReplacementNotice> expected = {
      {kFakeService, EndpointId{"db-2"}, 50}};
  CHECK(ListNotices() == expected);
  const int before = fake.hold_count;
  RunWithReviews(13);
  CHECK(ListNotices() == expected);
  CHECK(fake.hold_count - before >= 100);
}

TEST(RelayedHold, EndsOnceTheOrderCannotTakeEffectAnyMore) {
  HearOfTheOrder();
  fake.Advance(kLostPromotionRetention);
  const int before = fake.hold_count;
  RunWithReviews(2);
  CHECK(ListNotices().empty());
  LONGS_EQUAL(before, fake.hold_count);
}

TEST(RelayedHold, IsNotRelayedByVmsThatTheHolderHasNotTold) {
  // They would keep each other's holds alive for ever.
  Begin();
  Receive(MakeRelay());
  STRCMP_EQUAL("hold db-2;", JoinSteps().c_str());
  CHECK(ListNotices().empty());
}

TEST(RelayedHold, IsNotRevivedOnceTheHolderHasEndedIt) {
  HearOfTheOrder();
  Heartbeat ended = MakeHoldersHeartbeat();
  ended.replacements.clear();
  Receive(ended);
  STRCMP_EQUAL("hold db-2;release;", JoinSteps().c_str());
  const int before = fake.hold_count;
  Receive(MakeRelay());
  RunWithReviews(1);
  LONGS_EQUAL(before, fake.hold_count);
  CHECK(ListNotices().empty());
  Receive(MakeHoldersHeartbeat());
  LONGS_EQUAL(1, ListNotices().size());
}

TEST(RelayedHold, OutlastsARestartOfTheHolder) {
  // The new process does not know of its order, which may take effect.
  HearOfTheOrder();
  Heartbeat restarted = MakeHoldersHeartbeat();
  restarted.replacements.clear();
  restarted.duties.clear();
  Receive(restarted);
  STRCMP_EQUAL("hold db-2;", JoinSteps().c_str());
  LONGS_EQUAL(1, ListNotices().size());
  fake.Advance(kLostPromotionRetention);
  Receive(restarted);
  STRCMP_EQUAL("hold db-2;release;", JoinSteps().c_str());
  CHECK(ListNotices().empty());
}

TEST(RelayedHold, EndsWithAProofOfTheNewTerm) {
  HearOfTheOrder();
  failover.HandlePrimaryConfirmed(EndpointId{"db-1"}, Term{1});
  LONGS_EQUAL(1, ListNotices().size());
  failover.HandlePrimaryConfirmed(EndpointId{"db-2"}, Term{2});
  CHECK(ListNotices().empty());
}

TEST(RelayedHold, EndsBehindATakeoverOnceItsOrderHasTakenEffect) {
  HearOfTheOrder();
  Heartbeat next = MakeHeartbeat("vm-3", 51);
  next.duties = {{kFakeService, 51}};
  next.replacements.clear();
  Receive(next);
  failover.Review();
  LONGS_EQUAL(1, ListNotices().size());
  fake.Advance(kPromotionTimeout);
  CHECK(ListNotices().empty());
}

TEST(RelayedHold, OfItsOwnOrderIsIgnored) {
  // The holder would hold commits because of a notice that it has ended.
  Begin();
  failover.Apply(fake.MakeView("db-1"));
  Heartbeat relay = MakeRelay();
  relay.replacements = ListNotices();
  LONGS_EQUAL(1, relay.replacements.size());
  failover.HandlePrimaryConfirmed(EndpointId{fake.primary}, Term{fake.term});
  const int before = fake.hold_count;
  Receive(relay);
  RunWithReviews(1);
  LONGS_EQUAL(before, fake.hold_count);
}

TEST(RelayedHold, IsFollowedBeforeTheFirstConfiguration) {
  // A VM that had just started dropped the notice, and sent commits to the
  // former primary once it had read the configuration (LOST).
  Receive(MakeRelay());
  STRCMP_EQUAL("hold db-2;", JoinSteps().c_str());
}

TEST(RelayedHold, OfAnOrderHeardBeforeTheFirstConfigurationIsRelayed) {
  // The holder was killed and started anew, and the only VM that it had told
  // was starting itself: nobody told the new process (LOST).
  Receive(MakeHoldersHeartbeat());
  const std::vector<ReplacementNotice> expected = {
      {kFakeService, EndpointId{"db-2"}, 50}};
  CHECK(ListNotices() == expected);
  Begin();
  CHECK(ListNotices() == expected);
}

TEST(RelayedHold, BeforeTheFirstConfigurationTheNumberOfServicesIsLimited) {
  Heartbeat heartbeat = MakeHoldersHeartbeat();
  for (size_t n = 0; n < 2 * kMaxUnconfiguredHolds; ++n) {
    const ServiceId service{"other-" + std::to_string(n)};
    heartbeat.duties.push_back({service, 50});
    heartbeat.replacements.push_back({service, EndpointId{"db-9"}, 50});
    heartbeat.promotions.push_back({service, EndpointId{"db-9"}, 50});
  }
  Receive(heartbeat);
  CHECK(ListNotices().size() <= kMaxUnconfiguredHolds);
}

TEST(RelayedHold, OutlastsARestartOfTheVmThatRelaysIt) {
  // Its first heartbeat has no notice, and the commits were released (LOST).
  Begin();
  Heartbeat relay = MakeRelay();
  relay.config_version = 7;
  Receive(relay);
  relay.replacements.clear();
  relay.config_version = 0;
  Receive(relay);
  relay.config_version = 7;
  Receive(relay);
  STRCMP_EQUAL("hold db-2;", JoinSteps().c_str());
}

TEST(RelayedHold, OfALaterOrderUnderTheSameTokenIsRelayed) {
  // The first order was proved, and the second one passed for it: the next
  // process of the holder's VM ended the hold (LOST, soak seed 465).
  Begin();
  Heartbeat holder = MakeHoldersHeartbeat();
  holder.promotions = {{kFakeService, EndpointId{"db-3"}, 50}};
  holder.replacements.clear();
  Receive(holder);
  failover.HandlePrimaryConfirmed(EndpointId{"db-3"}, Term{2});
  Receive(MakeHoldersHeartbeat());
  LONGS_EQUAL(1, ListNotices().size());
}

}  // namespace magnoliareel
