#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/control.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

const ServiceId kService{"groyne-logs"};

/** Store, endpoints, platform, clock and node around one FailoverControl. */
class FakeDeployment {
 public:
  FakeDeployment() {
    for (const char* it : {"db-1", "db-2", "db-3"}) {
      EndpointEntry entry;
      entry.id.value = it;
      entry.service = kService;
      view_.endpoints.push_back(std::move(entry));
    }
    auto routes = std::make_shared<RouteTable>();
    routes->services[kService] = {32, 1};
    view_.routes = std::move(routes);
  }

  // RowStore
  void List(std::string_view, std::string_view, const RowsCompletion&) {}
  void Get(std::string_view, std::string_view key, const RowsCompletion& done) {
    StoredRows rows;
    if (row_version_ > 0) {
      rows.rows.push_back({std::string(key), "vm", row_version_, false});
    }
    done({}, rows);
  }
  void Follow(std::string_view, uint64_t, Duration, const RowsCompletion&) {}
  void WriteIf(std::string_view,
               std::string_view,
               std::string_view,
               uint64_t,
               const RowsCompletion& done) {
    StoredRows rows;
    rows.version = ++row_version_;
    done({}, rows);
  }
  void Put(std::string_view,
           std::string_view,
           std::string_view,
           const RowsCompletion&) {}

  // EndpointCommandSender
  void Send(const EndpointEntry& endpoint,
            const EndpointCommand& order,
            Duration,
            const EndpointCommandCompletion& done) {
    ReplicationStatus standing;
    standing.leads = endpoint.id.value == leader;
    standing.term = Term{term};
    standing.received = {Term{1}, LogPosition{7}};
    if (endpoint.id.value == silent) {
      done(Error::kAnswerLost, {});
      return;
    }
    if (order.kind == EndpointCommandKind::kPause) {
      paused[endpoint.id.value] = order.term;
    } else if (order.kind == EndpointCommandKind::kResume) {
      paused.erase(endpoint.id.value);
    }
    const auto it = paused.find(endpoint.id.value);
    standing.paused_at = it == paused.end() ? Term{} : it->second;
    done({}, standing);
  }

  // PromotionSender
  void Promote(const ServiceId&,
               const EndpointId& endpoint,
               uint64_t token,
               const std::function<void(std::error_code)>& done) {
    orders.emplace_back(endpoint.value, token);
    if (lost_orders > 0) {
      --lost_orders;
      done(Error::kAnswerLost);
      return;
    }
    if (idle_orders > 0) {
      --idle_orders;
    } else if (leader != endpoint.value) {
      leader = endpoint.value;
      ++term;
    }
    done({});
  }

  // FailoverDelegate
  TimePoint Now() const { return now_; }
  void After(Duration pause, std::function<void()> task) {
    tasks_.emplace(now_ + pause, std::move(task));
  }
  void AnnouncePrimary(const ServiceId&, const EndpointId&) {}
  void SendHeartbeats() {}
  bool IsStoreConnected() const { return true; }

  void RunFor(Duration span) {
    const TimePoint end = now_ + span;
    while (!tasks_.empty() && tasks_.begin()->first <= end) {
      auto node = tasks_.extract(tasks_.begin());
      now_ = node.key();
      node.mapped()();
    }
    now_ = end;
  }
  /** @param draining  the endpoint that leaves; empty for none */
  const FleetView& MakeView(const std::string& draining) {
    for (EndpointEntry& it : view_.endpoints) {
      it.claims_primary = it.id.value == leader;
      it.draining = it.id.value == draining;
    }
    return view_;
  }
  /** The directory lists an endpoint no more. */
  void Remove(const std::string& endpoint) {
    std::erase_if(view_.endpoints, [&](const EndpointEntry& it) {
      return it.id.value == endpoint;
    });
  }

  std::string leader = "db-1";
  uint64_t term = 1;
  int lost_orders = 0;
  // Orders that are accepted and have no effect.
  int idle_orders = 0;
  // An endpoint that answers nothing.
  std::string silent;
  std::vector<std::pair<std::string, uint64_t>> orders;
  // A promotion ends only the pauses below its term; here it ends none.
  std::map<std::string, Term> paused;

 private:
  FleetView view_;
  uint64_t row_version_ = 0;
  TimePoint now_{std::chrono::seconds(100)};
  std::multimap<TimePoint, std::function<void()>> tasks_;
};

using Failover = FailoverControl<FakeDeployment,
                                 FakeDeployment,
                                 FakeDeployment,
                                 FakeDeployment>;

}  // namespace

TEST_GROUP(Failover) {
  FakeDeployment fake;
  PeerGroup peers{SocketAddress{"127.0.0.1", 1}};
  Failover failover{fake, fake, fake, fake, peers, VmId{"vm"}, SiteId{"site"}};

  void Leave(const std::string& draining) {
    failover.Apply(fake.MakeView(draining));
    fake.RunFor(std::chrono::seconds(2));
    failover.HandlePrimaryConfirmed(EndpointId{fake.leader}, Term{fake.term});
    failover.Apply(fake.MakeView(draining));
    RunReviewed(3);
  }

  // A node reviews with every heartbeat period.
  void RunReviewed(int seconds) {
    for (int n = 0; n < seconds; ++n) {
      failover.Review();
      fake.RunFor(std::chrono::seconds(1));
    }
  }
};

TEST(Failover, ALeavingPrimaryIsReplacedOnce) {
  Leave("db-1");
  CHECK(fake.leader != "db-1");
  const auto first = fake.orders.front();
  Leave("db-1");
  for (const auto& it : fake.orders) {
    STRCMP_EQUAL(first.first.c_str(), it.first.c_str());
  }
}

TEST(Failover, OnlyTheLastOrderIsTold) {
  failover.Apply(fake.MakeView("db-1"));
  fake.RunFor(std::chrono::seconds(2));
  const std::string second = fake.leader;
  failover.HandlePrimaryConfirmed(EndpointId{second}, Term{fake.term});
  failover.Apply(fake.MakeView(second));
  RunReviewed(3);
  CHECK(fake.leader != second);
  Heartbeat heartbeat;
  failover.FillHeartbeat(heartbeat);
  LONGS_EQUAL(1, heartbeat.ordered.size());
  STRCMP_EQUAL(fake.leader.c_str(),
               heartbeat.ordered.front().endpoint.value.c_str());
}

TEST(Failover, PausedReplicasReceiveAgainOnceTheNextPrimaryLeads) {
  // Seen (store-away --seed 44074814871: LOST, DRAIN): two attempts met, the
  // second one's pauses outlived the first one's promotion, and the replicas
  // stood still for the rest of the day.
  failover.Apply(fake.MakeView("db-1"));
  fake.RunFor(std::chrono::milliseconds(1600));
  CHECK(fake.leader != "db-1");
  CHECK(!fake.paused.empty());
  failover.HandlePrimaryConfirmed(EndpointId{fake.leader}, Term{fake.term});
  RunReviewed(3);
  CHECK(fake.paused.empty());
}

TEST(Failover, AFormerHolderLeavesPausedReplicasAlone) {
  // Seen (late-orders --seed 211310843558: LOST): it resumed what the present
  // holder had paused in the middle of an attempt.
  fake.silent = "db-3";
  failover.Apply(fake.MakeView("db-1"));
  fake.RunFor(std::chrono::milliseconds(1600));
  CHECK(fake.orders.empty());
  fake.silent.clear();
  Heartbeat heartbeat;
  heartbeat.vm.value = "other";
  heartbeat.address = {"127.0.0.1", 2};
  heartbeat.duties = {{kService, 99}};
  peers.RecordHeartbeat(heartbeat, fake.Now());
  failover.HandleHeartbeat(heartbeat);
  fake.paused["db-2"] = Term{9};
  fake.RunFor(std::chrono::seconds(3));
  CHECK(fake.paused.contains("db-2"));
}

TEST(Failover, OneThatWasToLeadAndDoesNotIsAReplica) {
  // Seen (late-orders --seed 13: LOST): the old primary came back under
  // another id and acknowledged commits through the replica that had been
  // ordered to lead, which the next attempt left out of its count.
  fake.silent = "db-1";
  fake.idle_orders = 1;
  failover.Apply(fake.MakeView("db-1"));
  fake.RunFor(std::chrono::milliseconds(1600));
  LONGS_EQUAL(1, fake.orders.size());
  const std::string first = fake.orders.front().first;
  fake.Remove("db-1");
  failover.Apply(fake.MakeView(""));
  RunReviewed(6);
  CHECK(fake.orders.size() > 1);
  const auto& [second, token] = fake.orders.back();
  CHECK(second == first || fake.paused.contains(first));
}

TEST(Failover, AVmThatHasJustStartedClaimsNothing) {
  // It has not heard yet who holds the duty.
  failover.Apply(fake.MakeView("db-1"));
  fake.RunFor(std::chrono::milliseconds(1000));
  CHECK(fake.orders.empty());
}

TEST(Failover, AnOrderForAnotherEndpointIsAboveEveryLostOne) {
  // Seen (late-orders --seed 211310843558: LOST): a lost order was carried out
  // seconds later, after another endpoint had been promoted under its token.
  fake.lost_orders = 2;
  Leave("db-1");
  const std::string second = fake.leader;
  CHECK(second != "db-1");
  const uint64_t lost_token = fake.orders.front().second;
  Leave(second);
  CHECK(fake.leader != second);
  for (const auto& [endpoint, token] : fake.orders) {
    CHECK_TEXT(endpoint == second || token > lost_token, endpoint.c_str());
  }
}

TEST(Failover, ALostOrderIsFencedOffSoonAfterwards) {
  fake.lost_orders = 1;
  Leave("db-1");
  const auto& [endpoint, token] = fake.orders.back();
  STRCMP_EQUAL(fake.leader.c_str(), endpoint.c_str());
  CHECK(token > fake.orders.front().second);
}

TEST(Failover, ALostConfirmationGivesUpItsToken) {
  failover.Apply(fake.MakeView(""));
  fake.lost_orders = 1;
  RunReviewed(8);
  CHECK(fake.orders.size() >= 2);
  CHECK(fake.orders.back().second > fake.orders.front().second);
  STRCMP_EQUAL("db-1", fake.leader.c_str());
}

}  // namespace magnoliareel
