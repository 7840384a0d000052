#include "control/failover/order_guard.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "control/tests/captured_log.h"
#include "control/tests/fake_deployment.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;

EndpointEntry MakeMember(const char* id) {
  EndpointEntry entry;
  entry.id.value = id;
  entry.service = kFakeService;
  return entry;
}

/** The endpoints of a service that awaits a promotion, and a clock. Endpoints
    without a status do not answer. */
class FakeMembers {
 public:
  void Send(const EndpointEntry& endpoint,
            const EndpointCommand& command,
            Duration,
            const EndpointCommandCompletion& done) {
    ++command_count;
    if (command.kind != EndpointCommandKind::kReport) {
      trace += std::string(GetEndpointCommandName(command.kind)) + " " +
               endpoint.id.value + " " + std::to_string(command.term.value) +
               ";";
    }
    const auto it = statuses.find(endpoint.id.value);
    if (it == statuses.end()) {
      done(Error::kAnswerLost, {});
      return;
    }
    if (command.kind == EndpointCommandKind::kDemote) {
      it->second.is_primary &= it->second.term >= command.term;
    } else if (command.kind == EndpointCommandKind::kPause) {
      it->second.paused_at = command.term;
    }
    done({}, it->second);
  }

  TimePoint Now() const { return now_; }
  void After(Duration pause, std::function<void()> task) {
    tasks_.emplace(now_ + pause, std::move(task));
  }
  void Advance(Duration span) {
    const TimePoint end = now_ + span;
    while (!tasks_.empty() && tasks_.begin()->first <= end) {
      auto node = tasks_.extract(tasks_.begin());
      now_ = node.key();
      node.mapped()();
    }
    now_ = end;
  }

  std::map<std::string, ReplicationStatus> statuses;
  std::string trace;
  int command_count = 0;

 private:
  TimePoint now_{std::chrono::seconds(100)};
  std::multimap<TimePoint, std::function<void()>> tasks_;
};

}  // namespace

// db-1 leads term 7 until the promotion of db-2, which relies on the pause of
// db-3.
TEST_GROUP(OrderGuard) {
  FakeMembers members;
  OrderGuard<FakeMembers, FakeMembers, FakeMembers> guard{members, members,
                                                          members};
  std::vector<EndpointEntry> listed = {MakeMember("db-1"), MakeMember("db-2"),
                                       MakeMember("db-3")};
  std::vector<std::string> paused;
  std::string proved;

  void Begin() {
    for (const char* it : {"db-1", "db-2", "db-3"}) {
      members.statuses[it].term = Term{7};
    }
    members.statuses["db-3"].paused_at = Term{9};
    GuardedOrder order;
    order.service = kFakeService;
    order.successor.value = "db-2";
    order.former_primary = listed[0];
    order.is_demoted = true;
    order.replicas = {listed[1], listed[2]};
    order.next_term = Term{8};
    order.list_endpoints = [this] { return listed; };
    order.handle_proof = [this](const EndpointId& id, Term term) {
      proved += id.value + " " + std::to_string(term.value) + ";";
    };
    order.handle_pause = [this](const EndpointEntry& it) {
      paused.push_back(it.id.value);
    };
    guard.Begin(std::move(order));
  }
};

TEST(OrderGuard, SendsOnlyReportsWhileNothingChanges) {
  Begin();
  members.Advance(std::chrono::seconds(1));
  STRCMP_EQUAL("", members.trace.c_str());
  LONGS_EQUAL(30, members.command_count);
}

TEST(OrderGuard, DemotesAFormerPrimaryThatLeadsItsOldTermAgain) {
  // A database that crashed behind its demotion came back as the leader of its
  // old term and acknowledged commits until the promotion took effect (LOST).
  CapturedLog log;
  Begin();
  members.Advance(milliseconds(250));
  members.statuses["db-1"].is_primary = true;
  members.Advance(kOrderGuardInterval);
  STRCMP_EQUAL("demote db-1 8;", members.trace.c_str());
  CHECK(!members.statuses["db-1"].is_primary);
  const auto lines = log.ListLines("order.premise_lost");
  LONGS_EQUAL(1, lines.size());
  CheckFields(lines[0], "endpoint=db-1 what=leads_again term=7 after_ms=300");
}

TEST(OrderGuard, DemotesAnEndpointThatLeadsTheOldTermUnderAnotherId) {
  Begin();
  listed[0] = MakeMember("db-4");
  members.statuses.erase("db-1");
  members.statuses["db-4"].term = Term{7};
  members.statuses["db-4"].is_primary = true;
  members.Advance(kOrderGuardInterval);
  CHECK(!members.statuses["db-4"].is_primary);
}

TEST(OrderGuard, DemotesAFormerPrimaryThatDoesNotAnswerWithoutAReport) {
  // It may execute a demotion whose answer is lost.
  Begin();
  members.statuses.erase("db-1");
  members.Advance(milliseconds(1000));
  STRCMP_EQUAL("demote db-1 8;demote db-1 8;demote db-1 8;",
               members.trace.c_str());
  members.statuses["db-1"].is_primary = true;
  members.Advance(kLateDemotionInterval);
  CHECK(!members.statuses["db-1"].is_primary);
}

TEST(OrderGuard, PausesAReplicaThatHasStartedAnew) {
  // Its pause is gone, and it lets a former primary that leads acknowledge.
  CapturedLog log;
  Begin();
  members.statuses["db-3"].paused_at = {};
  members.Advance(kOrderGuardInterval);
  STRCMP_EQUAL("pause db-3 8;", members.trace.c_str());
  LONGS_EQUAL(1, paused.size());
  const auto lines = log.ListLines("order.premise_lost");
  LONGS_EQUAL(1, lines.size());
  CheckFields(lines[0], "endpoint=db-3 what=not_paused term=7");
}

TEST(OrderGuard, PausesAReplicaThatJoins) {
  CapturedLog log;
  Begin();
  listed.push_back(MakeMember("db-4"));
  members.statuses["db-4"].term = Term{7};
  members.Advance(kOrderGuardInterval);
  STRCMP_EQUAL("pause db-4 8;", members.trace.c_str());
  CheckFields(log.ListLines("order.premise_lost").at(0), "what=joined");
}

TEST(OrderGuard, SendsNoPauseOnceTheSuccessorLeads) {
  // The promotion has ended the pause; another one would keep the replica from
  // receiving the new term.
  Begin();
  std::reverse(listed.begin(), listed.end());
  members.statuses["db-3"].paused_at = {};
  members.statuses["db-2"].is_primary = true;
  members.statuses["db-2"].term = Term{8};
  members.Advance(milliseconds(500));
  STRCMP_EQUAL("", members.trace.c_str());
  STRCMP_EQUAL("db-2 8;", proved.c_str());
}

TEST(OrderGuard, SendsNothingToMembersOfTheNewTerm) {
  Begin();
  members.statuses.erase("db-2");
  members.statuses["db-3"].paused_at = {};
  members.statuses["db-3"].term = Term{8};
  members.Advance(milliseconds(500));
  STRCMP_EQUAL("", members.trace.c_str());
}

TEST(OrderGuard, EndsWithAProofOfTheNewTerm) {
  Begin();
  members.statuses["db-2"].is_primary = true;
  members.Advance(kOrderGuardInterval);
  STRCMP_EQUAL("", proved.c_str());
  members.statuses["db-2"].term = Term{8};
  members.Advance(kOrderGuardInterval);
  STRCMP_EQUAL("db-2 8;", proved.c_str());
  const int before = members.command_count;
  members.Advance(std::chrono::seconds(1));
  LONGS_EQUAL(before, members.command_count);
}

TEST(OrderGuard, EndsAtItsDeadline) {
  Begin();
  guard.SetDeadline(kFakeService, members.Now() + milliseconds(450));
  members.Advance(milliseconds(450));
  const int before = members.command_count;
  LONGS_EQUAL(12, before);
  members.Advance(std::chrono::seconds(1));
  LONGS_EQUAL(before, members.command_count);
}

TEST_GROUP_BASE(GuardedFailover, FailoverGroup){};

TEST(GuardedFailover, KeepsThePremisesOfAnOrderUntilItTakesEffect) {
  SettleOrders();
  fake.ineffective_promotions = 1;
  failover.Apply(fake.MakeView("db-1"));
  CHECK(!fake.promotions.empty());
  const std::string other =
      fake.promotions.back().first == "db-2" ? "db-3" : "db-2";
  CHECK(fake.paused.contains(other));
  fake.Advance(milliseconds(350));
  fake.primary = "db-1";
  fake.paused.clear();
  fake.Advance(kOrderGuardInterval);
  CHECK(fake.primary.empty());
  CHECK(fake.paused.contains(other));
  // A replica that was paused again receives once the new term is proved.
  fake.primary = fake.promotions.back().first;
  ++fake.term;
  fake.Advance(milliseconds(1000));
  CHECK(fake.paused.empty());
}

TEST(GuardedFailover, LeavesTheMembersToTheNextHolderOfTheDuty) {
  // The guard of an order without an answer went on for 14 s: it demoted and
  // paused what the next holder had confirmed and resumed.
  SettleOrders();
  fake.lost_promotion_replies = 1000;
  failover.Apply(fake.MakeView("db-1"));
  CHECK(!fake.promotions.empty());
  Heartbeat next;
  next.vm.value = "vm-2";
  next.address = {"127.0.0.1", 2};
  next.duties = {{kFakeService, fake.promotions.back().second + 9}};
  peers.RecordHeartbeat(next, fake.Now());
  failover.HandleHeartbeat(next);
  fake.Advance(milliseconds(1500));
  // The order may have been accepted, and takes effect now at the latest.
  fake.primary = "db-1";
  fake.Advance(kOrderGuardInterval);
  CHECK(fake.primary.empty());
  fake.Advance(milliseconds(500));
  fake.primary = "db-1";
  fake.paused.clear();
  RunWithReviews(3);
  STRCMP_EQUAL("db-1", fake.primary.c_str());
  CHECK(fake.paused.empty());
}

}  // namespace magnoliareel
