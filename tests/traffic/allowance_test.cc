#include <memory>
#include <string>

#include "tests/traffic/scripted_node.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

constexpr Duration kLong = std::chrono::minutes(10);

std::shared_ptr<const TeamTable> MakeTeam(std::optional<TeamLimit> limit) {
  auto teams = std::make_shared<TeamTable>();
  teams->Add({TeamId{"team-a"}, limit});
  teams->AddKey(DigestKey("key-a"), TeamId{"team-a"});
  return teams;
}

bool IsServed(const std::string& answer) {
  return answer.find("COMPLETE proof") != std::string::npos;
}

bool IsRefused(const std::string& answer) {
  return answer.find("ERROR BUSY no permit for the team") != std::string::npos;
}

/** A node whose team has room for two operations at once, and then for two in a
    second. */
class LimitedNode : public ScriptedNode {
 public:
  explicit LimitedNode(std::string_view owner) {
    ApplyTeams(MakeTeam(TeamLimit{2, 3}));
    SlotAssignment slots;
    slots.owners = {{VmId{std::string(owner)}, 0}};
    GetCore().ApplySlots(&slots, Now() + kLong);
    const PermitLender lender{VmId{"vm-1"}, Distance::kSameSite};
    GetCore().ApplyLenders(std::span(&lender, 1));
  }
};

}  // namespace

TEST_GROUP_BASE(Allowances, ScriptedNodeGroup){};

TEST(Allowances, OperationsBeyondTheLimitDoNotRun) {
  // Guards against operations that run without a permit, and against a bucket
  // that starts full.
  LimitedNode node("vm-0");
  const uint64_t session = node.OpenCaller("entries", "key-a");
  CHECK(IsRefused(node.Ask(session, "WRITE it a")));
  node.Run(std::chrono::seconds(5));
  CHECK(IsServed(node.Ask(session, "WRITE it a")));
  CHECK(IsServed(node.Ask(session, "READ it")));
  CHECK(IsRefused(node.Ask(session, "WRITE it a")));
  LONGS_EQUAL(2, node.GetRuns().size());
  node.Run(std::chrono::milliseconds(500));
  CHECK(IsServed(node.Ask(session, "READ it")));
  LONGS_EQUAL(0, node.GetPermitRequests().size());
}

TEST(Allowances, ATransactionIsChargedOnceAndItsPreparationNever) {
  // Guards against charges for what no endpoint runs for the caller.
  LimitedNode node("vm-0");
  const uint64_t session = node.OpenCaller("entries", "key-a");
  node.Run(std::chrono::seconds(5));
  for (int n = 0; n < 5; ++n) {
    node.Ask(session, "SET zone a");
  }
  node.Ask(session, "BEGIN");
  for (int n = 0; n < 5; ++n) {
    CHECK(IsServed(node.Ask(session, "WRITE it a")));
  }
  CHECK(IsServed(node.Ask(session, "COMMIT")));
  CHECK(IsServed(node.Ask(session, "READ it")));
  CHECK(IsRefused(node.Ask(session, "READ it")));
}

TEST(Allowances, ARefusedTransactionHasToBeRolledBack) {
  // Guards against a session that goes on as if its transaction were open.
  LimitedNode node("vm-0");
  const uint64_t session = node.OpenCaller("entries", "key-a");
  node.Ask(session, "BEGIN");
  const std::string refused = node.Ask(session, "WRITE it a");
  CHECK(IsRefused(refused));
  CHECK(refused.find("READY E") != std::string::npos);
  node.Run(std::chrono::seconds(5));
  CHECK(!IsServed(node.Ask(session, "WRITE it a")));
  CHECK(node.Ask(session, "ROLLBACK").find("READY I") != std::string::npos);
  CHECK(IsServed(node.Ask(session, "WRITE it a")));
  LONGS_EQUAL(1, node.GetRuns().size());
}

TEST(Allowances, AStatementWaitsForBorrowedPermits) {
  // Guards against statements that run before their permit has come, and
  // against a permit that is used twice.
  LimitedNode node("vm-1");
  const uint64_t session = node.OpenCaller("entries", "key-a");
  node.GetCore().HandleCallerFrame(session, "QUERY q READ it");
  node.Run(std::chrono::milliseconds(10));
  LONGS_EQUAL(0, node.GetRuns().size());
  LONGS_EQUAL(1, node.GetPermitRequests().size());
  const auto [owner, request] = node.GetPermitRequests().front();
  STRCMP_EQUAL("vm-1", owner.value.c_str());
  const PermitGrant grant{request.team, 1, request.sequence};
  node.GetCore().HandlePermitGrant(VmId{"vm-2"}, grant);
  node.Run(std::chrono::milliseconds(10));
  LONGS_EQUAL(0, node.GetRuns().size());
  node.GetCore().HandlePermitGrant(owner, grant);
  node.GetCore().HandlePermitGrant(owner, grant);
  node.Run(std::chrono::milliseconds(10));
  LONGS_EQUAL(1, node.GetRuns().size());
  CHECK(IsServed(node.GetAnswer(session)));
}

TEST(Allowances, AWaitWithoutAnAnswerEndsEarly) {
  // Guards against statements that wait for a lost message to their limit.
  LimitedNode node("vm-1");
  const uint64_t session = node.OpenCaller("entries", "key-a");
  CHECK(IsRefused(node.Ask(session, "READ it")));
  CHECK(node.GetElapsed() <= std::chrono::milliseconds(250));
  LONGS_EQUAL(0, node.GetRuns().size());
}

TEST(Allowances, AClosedSessionLeavesItsPermitToOthers) {
  // Guards against a wait that outlives its session.
  LimitedNode node("vm-1");
  const uint64_t first = node.OpenCaller("entries", "key-a");
  const uint64_t second = node.OpenCaller("entries", "key-a");
  node.GetCore().HandleCallerFrame(first, "QUERY q READ it");
  node.GetCore().HandleCallerFrame(second, "QUERY q READ it");
  node.GetCore().CloseSession(first);
  const auto [owner, request] = node.GetPermitRequests().front();
  node.GetCore().HandlePermitGrant(owner, {request.team, 1, request.sequence});
  node.Run(std::chrono::milliseconds(10));
  CHECK(IsServed(node.GetAnswer(second)));
  LONGS_EQUAL(1, node.GetRuns().size());
}

TEST(Allowances, ALimitThatIsRemovedLetsWaitingStatementsRun) {
  // Guards against statements that are forgotten with the limit.
  LimitedNode node("vm-1");
  const uint64_t session = node.OpenCaller("entries", "key-a");
  node.GetCore().HandleCallerFrame(session, "QUERY q READ it");
  node.ApplyTeams(MakeTeam(std::nullopt));
  node.Run(std::chrono::milliseconds(10));
  CHECK(IsServed(node.GetAnswer(session)));
}

TEST(Allowances, AKeyThatMovesTakesItsWaitingStatementToTheNewTeam) {
  // Guards against a statement of one team that waits for, and takes, a permit
  // of another.
  LimitedNode node("vm-1");
  const uint64_t session = node.OpenCaller("entries", "key-a");
  node.GetCore().HandleCallerFrame(session, "QUERY q READ it");
  const auto [owner, request] = node.GetPermitRequests().front();
  auto teams = std::make_shared<TeamTable>();
  teams->Add({TeamId{"team-a"}, TeamLimit{2, 3}});
  teams->Add({TeamId{"team-b"}, std::nullopt});
  teams->AddKey(DigestKey("key-a"), TeamId{"team-b"});
  node.ApplyTeams(std::move(teams));
  node.Run(std::chrono::milliseconds(10));
  CHECK(IsServed(node.GetAnswer(session)));
  STRCMP_EQUAL("team-b", node.GetRuns().back().opened_by.c_str());
  node.GetCore().HandlePermitGrant(owner, {request.team, 1, request.sequence});
  node.Run(std::chrono::milliseconds(10));
  LONGS_EQUAL(1, node.GetRuns().size());
  LONGS_EQUAL(0, node.GetCore().GetAllowanceCounters().borrowed);
}

TEST(Allowances, APermitThatExpiresInAQueueIsNotUsed) {
  // Guards against statements that were permitted one after the other and reach
  // an endpoint at once, when it takes statements again.
  LimitedNode node("vm-0");
  const uint64_t first = node.OpenCaller("entries", "key-a");
  const uint64_t second = node.OpenCaller("entries", "key-a");
  node.Run(std::chrono::seconds(5));
  node.GetCore().HoldCommits(ServiceId{"logs"}, {});
  node.GetCore().HandleCallerFrame(first, "QUERY q WRITE it a");
  node.GetCore().HandleCallerFrame(second, "QUERY q WRITE it a");
  node.Run(std::chrono::milliseconds(600));
  node.GetCore().ReleaseCommits(ServiceId{"logs"});
  node.Run(std::chrono::milliseconds(100));
  // One permit was added meanwhile.
  LONGS_EQUAL(1, node.GetRuns().size());
  CHECK(IsServed(node.GetAnswer(first)));
  CHECK(IsRefused(node.GetAnswer(second)));
  LONGS_EQUAL(1, node.GetCore().GetAllowanceCounters().refused_queued);
}

}  // namespace magnoliareel
