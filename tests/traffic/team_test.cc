#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/traffic/scripted_node.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

std::shared_ptr<const TeamTable> MakeTeams(
    const std::vector<std::pair<std::string, std::string>>& keys) {
  auto teams = std::make_shared<TeamTable>();
  for (const auto& [key, team] : keys) {
    teams->Add({TeamId{team}, std::nullopt});
    teams->AddKey(DigestKey(key), TeamId{team});
  }
  return teams;
}

bool IsServed(const std::string& answer) {
  return answer.find("COMPLETE proof") != std::string::npos;
}

bool IsUnauthorized(const std::string& answer) {
  return answer.find("ERROR NOAUTH") != std::string::npos;
}

}  // namespace

TEST_GROUP_BASE(Teams, ScriptedNodeGroup){};

TEST(Teams, AnUnknownKeyIsRefusedAndTheSessionEnds) {
  // Guards against callers that are served whatever key they present.
  ScriptedNode node;
  node.ApplyTeams(MakeTeams({{"key-a", "team-a"}}));
  const uint64_t session = node.OpenCaller("entries", "key-x");
  node.Run(std::chrono::milliseconds(5));
  CHECK(IsUnauthorized(node.GetAnswer(session)));
  CHECK(node.IsClosed(session));
  // An unknown database is told as such, also without a key.
  const uint64_t other = node.OpenCaller("nowhere", "key-x");
  node.Run(std::chrono::milliseconds(5));
  CHECK(node.GetAnswer(other).find("ERROR NODB") != std::string::npos);
}

TEST(Teams, AnyBytesOfALineAreAKey) {
  // Guards against keys that are cut at a blank, or compared as words.
  ScriptedNode node;
  const std::string odd = " a key  with\tblanks \xff ";
  node.ApplyTeams(MakeTeams({{odd, "team-a"}, {"a", "team-b"}}));
  const uint64_t session = node.OpenCaller("entries", odd);
  CHECK(IsServed(node.Ask(session, "READ it")));
  STRCMP_EQUAL("team-a", node.GetRuns().back().opened_by.c_str());
}

TEST(Teams, EndpointsAreToldTheTeamAndNeverTheKey) {
  // Guards against a statement on another team's connection: the name of a
  // connection cannot be changed.
  ScriptedNode node;
  node.ApplyTeams(MakeTeams({{"key-a", "team-a"}, {"key-b", "team-b"}}));
  const uint64_t first = node.OpenCaller("entries", "key-a");
  const uint64_t second = node.OpenCaller("entries", "key-b");
  for (int n = 0; n < 5; ++n) {
    CHECK(IsServed(node.Ask(first, "WRITE it a")));
    STRCMP_EQUAL("team-a", node.GetRuns().back().opened_by.c_str());
    CHECK(IsServed(node.Ask(second, "WRITE it b")));
    STRCMP_EQUAL("team-b", node.GetRuns().back().opened_by.c_str());
  }
}

TEST(Teams, WithoutTeamsTheVmsNameIsUsed) {
  // Guards against a change where the configuration names no teams.
  ScriptedNode node;
  const uint64_t session = node.OpenCaller("entries", "anyone");
  CHECK(IsServed(node.Ask(session, "READ it")));
  STRCMP_EQUAL("vm-0", node.GetRuns().back().opened_by.c_str());
}

TEST(Teams, AWithdrawnKeyEndsOpenSessionsAndTransactions) {
  // Guards against sessions that outlive their key.
  ScriptedNode node;
  node.ApplyTeams(MakeTeams({{"key-a", "team-a"}, {"key-b", "team-a"}}));
  const uint64_t resting = node.OpenCaller("entries", "key-a");
  const uint64_t in_transaction = node.OpenCaller("entries", "key-a");
  const uint64_t kept = node.OpenCaller("entries", "key-b");
  CHECK(IsServed(node.Ask(resting, "READ it")));
  node.Ask(in_transaction, "BEGIN");
  CHECK(IsServed(node.Ask(in_transaction, "WRITE it a")));
  const size_t runs = node.GetRuns().size();
  node.ApplyTeams(MakeTeams({{"key-b", "team-a"}}));
  CHECK(IsUnauthorized(node.Ask(resting, "READ it")));
  CHECK(IsUnauthorized(node.Ask(in_transaction, "COMMIT")));
  CHECK(node.IsClosed(resting) && node.IsClosed(in_transaction));
  node.Run(std::chrono::milliseconds(50));
  LONGS_EQUAL(runs, node.GetRuns().size());
  LONGS_EQUAL(0, node.CountTexts("COMMIT"));
  CHECK(IsServed(node.Ask(kept, "READ it")));
}

TEST(Teams, AStatementThatWaitsWhenItsKeyIsWithdrawnDoesNotRun) {
  // Guards against a queue that keeps statements of a withdrawn key.
  ScriptedNode node;
  node.ApplyTeams(MakeTeams({{"key-a", "team-a"}}));
  const uint64_t session = node.OpenCaller("entries", "key-a");
  // The connection is not open yet, so the statement waits.
  node.GetCore().HandleCallerFrame(session, "QUERY q WRITE it a");
  node.ApplyTeams(MakeTeams({{"key-b", "team-b"}}));
  node.Run(std::chrono::milliseconds(50));
  CHECK(IsUnauthorized(node.GetAnswer(session)));
  CHECK(node.IsClosed(session));
  LONGS_EQUAL(0, node.GetRuns().size());
}

TEST(Teams, AKeyThatMovesTakesEffectWithTheNextTransaction) {
  // Guards against a transaction that changes its connection, and against
  // statements under the former team afterwards.
  ScriptedNode node;
  node.ApplyTeams(MakeTeams({{"key-a", "team-a"}}));
  const uint64_t session = node.OpenCaller("entries", "key-a");
  node.Ask(session, "BEGIN");
  CHECK(IsServed(node.Ask(session, "WRITE it a")));
  node.ApplyTeams(MakeTeams({{"key-a", "team-b"}}));
  CHECK(IsServed(node.Ask(session, "WRITE it b")));
  STRCMP_EQUAL("team-a", node.GetRuns().back().opened_by.c_str());
  CHECK(IsServed(node.Ask(session, "COMMIT")));
  CHECK(IsServed(node.Ask(session, "READ it")));
  STRCMP_EQUAL("team-b", node.GetRuns().back().opened_by.c_str());
}

TEST(Teams, ManyTeamsShareFewConnections) {
  // Guards against teams that keep the connections of an endpoint from others,
  // and against a pool that grows with the number of teams.
  ScriptedNode node;
  std::vector<std::pair<std::string, std::string>> keys;
  for (int n = 0; n < 40; ++n) {
    keys.emplace_back("key-" + std::to_string(n), "team-" + std::to_string(n));
  }
  constexpr uint32_t kMaxConnections = 8;
  node.ApplyTeams(MakeTeams(keys), kMaxConnections);
  std::vector<uint64_t> sessions;
  for (const auto& [key, team] : keys) {
    sessions.push_back(node.OpenCaller("entries", key));
  }
  for (int round = 0; round < 2; ++round) {
    for (size_t n = 0; n < sessions.size(); ++n) {
      CHECK_TEXT(IsServed(node.Ask(sessions[n], "WRITE it a")),
                 keys[n].second.c_str());
      CHECK(keys[n].second == node.GetRuns().back().opened_by);
      CHECK(node.CountOpenConnections() <= kMaxConnections);
    }
  }
}

TEST(Teams, OneBusyTeamLeavesAConnectionToOthers) {
  // Guards against a team whose queue takes each connection again before
  // another team's statement gets one.
  ScriptedNode node;
  constexpr uint32_t kMaxConnections = 4;
  node.ApplyTeams(MakeTeams({{"key-a", "busy"}, {"key-b", "quiet"}}),
                  kMaxConnections);
  std::vector<uint64_t> busy;
  for (int n = 0; n < 60; ++n) {
    busy.push_back(node.OpenCaller("entries", "key-a"));
  }
  const uint64_t quiet = node.OpenCaller("entries", "key-b");
  int sent = 0;
  const auto send_busy = [&] {
    for (const uint64_t it : busy) {
      node.GetCore().HandleCallerFrame(
          it, "QUERY b" + std::to_string(++sent) + " WRITE it a");
    }
  };
  send_busy();
  node.Run(std::chrono::milliseconds(5));
  CHECK(IsServed(node.Ask(quiet, "WRITE it b", std::chrono::milliseconds(30))));
  std::set<std::string> served;
  for (const ScriptedRun& it : node.GetRuns()) {
    served.insert(it.opened_by);
  }
  LONGS_EQUAL(2, served.size());
}

}  // namespace magnoliareel
