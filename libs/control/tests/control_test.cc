#include "control/control.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(10)};
const ServiceId kService{"groyne-logs"};

TimePoint After(int64_t milliseconds) {
  return kStart + std::chrono::milliseconds(milliseconds);
}

ReplicationStatus MakeStanding(bool leads, uint64_t term, uint64_t position) {
  ReplicationStatus standing;
  standing.leads = leads;
  standing.term = Term{term};
  standing.received = {Term{term}, LogPosition{position}};
  return standing;
}

EndpointEntry MakeEntry(const char* id, bool draining = false) {
  EndpointEntry entry;
  entry.id.value = id;
  entry.service = kService;
  entry.draining = draining;
  return entry;
}

/** Endpoints, the platform and the clock of one replacement, all at once. */
class FakeGroup {
 public:
  void Send(const EndpointEntry& endpoint,
            const EndpointCommand& order,
            Duration,
            const EndpointCommandCompletion& done) {
    trace += std::string(GetEndpointCommandName(order.kind)) + " " +
             endpoint.id.value + ";";
    if (busy.contains(endpoint.id.value)) {
      done(Error::kOverloaded, {});
      return;
    }
    const auto it = standings.find(endpoint.id.value);
    if (it == standings.end()) {
      done(Error::kAnswerLost, {});
      return;
    }
    if (order.kind == EndpointCommandKind::kPause) {
      it->second.paused_at = order.term;
    }
    done({}, it->second);
  }
  void Promote(const ServiceId&,
               const EndpointId& endpoint,
               uint64_t token,
               const std::function<void(std::error_code)>& done) {
    trace += "promote " + endpoint.value + " " + std::to_string(token) + ";";
    const std::error_code ec =
        lost_orders-- > 0 ? make_error_code(Error::kAnswerLost) : answer;
    done(ec);
  }
  void After(Duration, const std::function<void()>& task) { task(); }

  ReplacementResult Replace(ReplacementReason reason,
                            std::vector<EndpointEntry> replicas) {
    ReplacementPlan plan;
    plan.service = kService;
    plan.primary = MakeEntry("db-1");
    plan.primary_id = plan.primary->id;
    plan.reason = reason;
    plan.replicas = std::move(replicas);
    plan.fencing_token = 9;
    ReplacementResult result;
    std::make_shared<PrimaryReplacement<FakeGroup, FakeGroup, FakeGroup>>(
        *this, *this, *this, std::move(plan),
        [&](const ReplacementResult& end) { result = end; })
        ->Start();
    return result;
  }

  std::map<std::string, ReplicationStatus> standings;
  std::set<std::string> busy;
  std::error_code answer;
  int lost_orders = 0;
  std::string trace;
};

}  // namespace

TEST_GROUP(Replacement) {
  FakeGroup group;
  const std::vector<EndpointEntry> replicas = {MakeEntry("db-2"),
                                               MakeEntry("db-3")};
};

TEST(Replacement, PausesTheOthersAndPromotesTheOneWithMost) {
  group.standings = {{"db-2", MakeStanding(false, 1, 5)},
                     {"db-3", MakeStanding(false, 1, 7)}};
  const ReplacementResult result =
      group.Replace(ReplacementReason::kUnreachable, replicas);
  CHECK(result.end == ReplacementOutcome::kPromoted);
  STRCMP_EQUAL("db-3", result.leader.value.c_str());
  STRCMP_EQUAL(
      "report db-2;report db-3;report db-1;pause db-2;report db-3;"
      "promote db-3 9;",
      group.trace.c_str());
}

TEST(Replacement, NeverPromotesOverAnUnaccountedReplica) {
  group.standings = {{"db-2", MakeStanding(false, 1, 5)}};
  const ReplacementResult result =
      group.Replace(ReplacementReason::kUnreachable, replicas);
  CHECK(result.end == ReplacementOutcome::kAbandoned);
  LONGS_EQUAL(1, result.maybe_paused.size());
  CHECK(group.trace.find("promote") == std::string::npos);
}

TEST(Replacement, LeavesAPrimaryWhoseCommitsArrive) {
  group.standings = {{"db-1", MakeStanding(true, 1, 7)},
                     {"db-2", MakeStanding(false, 1, 7)},
                     {"db-3", MakeStanding(false, 1, 5)}};
  CHECK(group.Replace(ReplacementReason::kCommitsStalled, replicas).end ==
        ReplacementOutcome::kNotNeeded);
  group.standings["db-1"] = MakeStanding(true, 1, 9);
  CHECK(group.Replace(ReplacementReason::kCommitsStalled, replicas).end ==
        ReplacementOutcome::kPromoted);
}

TEST(Replacement, LeavesAPrimaryThatIsOnlyBusy) {
  // Seen in incident inc-ee0a: a full primary was replaced without need.
  group.standings = {{"db-2", MakeStanding(false, 1, 7)},
                     {"db-3", MakeStanding(false, 1, 5)}};
  group.busy = {"db-1"};
  CHECK(group.Replace(ReplacementReason::kCommitsStalled, replicas).end ==
        ReplacementOutcome::kNotNeeded);
  CHECK(group.trace.find("pause") == std::string::npos);
}

TEST(Replacement, FindsThatAnotherLeadsAlready) {
  group.standings = {{"db-2", MakeStanding(true, 2, 8)},
                     {"db-3", MakeStanding(false, 2, 8)}};
  const ReplacementResult result =
      group.Replace(ReplacementReason::kUnreachable, replicas);
  CHECK(result.end == ReplacementOutcome::kAlreadyReplaced);
  STRCMP_EQUAL("db-2", result.leader.value.c_str());
}

TEST(Replacement, DoesNotChooseAnEndpointThatLeaves) {
  group.standings = {{"db-2", MakeStanding(false, 1, 7)},
                     {"db-3", MakeStanding(false, 1, 7)}};
  const ReplacementResult result =
      group.Replace(ReplacementReason::kDraining,
                    {MakeEntry("db-2", true), MakeEntry("db-3")});
  STRCMP_EQUAL("db-3", result.leader.value.c_str());
}

TEST(Replacement, RepeatsALostOrderForTheSameEndpoint) {
  group.standings = {{"db-2", MakeStanding(false, 1, 7)},
                     {"db-3", MakeStanding(false, 1, 7)}};
  group.lost_orders = 2;
  const ReplacementResult result =
      group.Replace(ReplacementReason::kUnreachable, replicas);
  CHECK(result.end == ReplacementOutcome::kPromoted);
  const std::string order = "promote " + result.leader.value + " 9;";
  CHECK(group.trace.find(order + order + order) != std::string::npos);
  group.lost_orders = 99;
  CHECK(group.Replace(ReplacementReason::kUnreachable, replicas).end ==
        ReplacementOutcome::kUncertain);
}

TEST(Replacement, StopsWhenANewerHolderHasActed) {
  group.standings = {{"db-2", MakeStanding(false, 1, 7)},
                     {"db-3", MakeStanding(false, 1, 7)}};
  group.answer = Error::kSuperseded;
  const ReplacementResult result =
      group.Replace(ReplacementReason::kUnreachable, replicas);
  CHECK(result.end == ReplacementOutcome::kSuperseded);
  CHECK(!result.maybe_paused.empty());
}

TEST_GROUP(Stop){};

TEST(Stop, GoesOnWhileCallersStillCome) {
  // Seen: it had ended at the first moment without sessions, and a caller that
  // came afterwards was cut.
  const ShutdownSequence stop(kStart, std::chrono::seconds(6));
  CHECK(!stop.Decide(After(500), 0).ends);
  CHECK(!stop.Decide(After(2400), 1).ends);
  CHECK(stop.Decide(After(2400), 0).ends);
  CHECK(stop.Decide(After(3000), 1).accepts);
  CHECK(!stop.Decide(After(4100), 1).accepts);
  CHECK(!stop.Decide(After(4900), 1).ends);
  CHECK(stop.Decide(After(5000), 1).ends);
}

TEST_GROUP(Leaders){};

TEST(Leaders, AnOlderOrderDoesNotReplaceANewerOne) {
  PrimaryRegistry leaders;
  CHECK(leaders.RecordPromotion(kService, EndpointId{"db-2"}, 5, kStart));
  CHECK(!leaders.RecordPromotion(kService, EndpointId{"db-3"}, 4, kStart));
  STRCMP_EQUAL("db-2", leaders.Get(kService, kStart)->endpoint.value.c_str());
}

TEST(Leaders, ALaterOrderUnderTheSameTokenIsNews) {
  // Seen in node_scenarios: a holder ordered two endpoints in turn, and a VM
  // that heard of both held to the first.
  PrimaryRegistry leaders;
  CHECK(leaders.RecordPromotion(kService, EndpointId{"db-2"}, 5, kStart));
  CHECK(leaders.RecordPromotion(kService, EndpointId{"db-3"}, 5, kStart));
  CHECK(!leaders.RecordPromotion(kService, EndpointId{"db-3"}, 5, kStart));
  STRCMP_EQUAL("db-3", leaders.Get(kService, kStart)->endpoint.value.c_str());
}

TEST(Leaders, ARepeatedOrderDoesNotUndoAProof) {
  PrimaryRegistry leaders;
  leaders.RecordPromotion(kService, EndpointId{"db-2"}, 5, kStart);
  leaders.NoteProven(kService, EndpointId{"db-3"}, Term{3});
  CHECK(!leaders.RecordPromotion(kService, EndpointId{"db-2"}, 5, kStart));
  STRCMP_EQUAL("db-3", leaders.Get(kService, kStart)->endpoint.value.c_str());
}

TEST(Leaders, AnOrderedOneThatProvesNothingHasFailed) {
  PrimaryRegistry leaders;
  leaders.RecordPromotion(kService, EndpointId{"db-2"}, 5, kStart);
  CHECK(!leaders.Get(kService, After(1900))->failed_to_lead);
  CHECK(leaders.Get(kService, After(2000))->failed_to_lead);
  leaders.NoteProven(kService, EndpointId{"db-2"}, Term{2});
  CHECK(!leaders.Get(kService, After(9000))->failed_to_lead);
}

TEST(Leaders, OneThatTheDirectoryLostIsGone) {
  PrimaryRegistry leaders;
  EndpointEntry entry = MakeEntry("db-1");
  entry.claims_primary = true;
  leaders.Apply(std::vector{entry}, kStart);
  leaders.Apply({}, After(1000));
  CHECK(!leaders.Get(kService, After(1100))->gone);
  CHECK(leaders.Get(kService, After(1300))->gone);
}

TEST_GROUP(Peers){};

TEST(Peers, AreLiveWhileTheyAreHeard) {
  PeerGroup peers({"127.0.0.1", 1});
  Heartbeat heartbeat;
  heartbeat.vm.value = "vm-2";
  heartbeat.address = {"127.0.0.1", 2};
  CHECK(peers.RecordHeartbeat(heartbeat, kStart));
  CHECK(!peers.RecordHeartbeat(heartbeat, After(1000)));
  LONGS_EQUAL(2, peers.CountLive());
  LONGS_EQUAL(0, peers.Sweep(After(4000)).size());
  LONGS_EQUAL(1, peers.Sweep(After(4500)).size());
  LONGS_EQUAL(1, peers.CountLive());
  CHECK(peers.RecordHeartbeat(heartbeat, After(9000)));
  heartbeat.leaving = true;
  peers.RecordHeartbeat(heartbeat, After(9100));
  LONGS_EQUAL(1, peers.CountLive());
}

TEST(Peers, ManyTakeTurns) {
  PeerGroup peers({"127.0.0.1", 1});
  constexpr uint16_t kPeers = 100;
  Heartbeat heartbeat;
  for (uint16_t it = 0; it < kPeers; ++it) {
    heartbeat.vm.value = "vm-" + std::to_string(it);
    heartbeat.address = {"127.0.0.1", static_cast<uint16_t>(100 + it)};
    heartbeat.duties.clear();
    if (it == 0) {
      heartbeat.duties = {{kService, 7}};
    }
    peers.RecordHeartbeat(heartbeat, kStart);
  }
  std::set<SocketAddress> seen;
  for (int period = 4; period < 9; ++period) {
    const auto targets =
        peers.ListTargets(After(1000 * period), kMaxHeartbeatTargets);
    LONGS_EQUAL(kMaxHeartbeatTargets, targets.size());
    seen.insert(targets.begin(), targets.end());
  }
  LONGS_EQUAL(kPeers, seen.size());
  LONGS_EQUAL(kPeers, peers.ListTargets(After(9000), SIZE_MAX).size());
  // Who holds a duty is missed soon, the others after three turns.
  LONGS_EQUAL(1, peers.Sweep(After(3500)).size());
  LONGS_EQUAL(0, peers.Sweep(After(15000)).size());
  LONGS_EQUAL(kPeers - 1, peers.Sweep(After(15500)).size());
}

TEST(Peers, LostOnesAreTriedSeldomAndThenForgotten) {
  PeerGroup peers({"127.0.0.1", 1});
  peers.Learn({"127.0.0.1", 2}, kStart);
  LONGS_EQUAL(1, peers.ListTargets(After(1000), kMaxHeartbeatTargets).size());
  LONGS_EQUAL(1, peers.ListTargets(After(6000), kMaxHeartbeatTargets).size());
  LONGS_EQUAL(0, peers.ListTargets(After(7000), kMaxHeartbeatTargets).size());
  LONGS_EQUAL(1, peers.ListTargets(After(10000), kMaxHeartbeatTargets).size());
  peers.Sweep(After(91000));
  LONGS_EQUAL(0, peers.ListTargets(After(99000), kMaxHeartbeatTargets).size());
}

}  // namespace magnoliareel
