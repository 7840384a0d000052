#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tests/traffic/captured_log.h"
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

TEST(Teams, AWordGivenBeforeThereWereTeamsIsNotLogged) {
  // Guards against a key in the log: a caller that connected before the
  // configuration named teams has presented its key already.
  ScriptedNode node;
  const uint64_t session = node.OpenCaller("entries", "secret-key");
  node.ApplyTeams(MakeTeams({{"secret-key", "team-a"}}));
  CapturedLog log;
  node.GetCore().HandleCallerFrame(session, "NONSENSE");
  STRCMP_EQUAL("", log.FindLast("secret-key").c_str());
  CHECK(!log.FindLast("caller.rejected").empty());
}

TEST(Teams, AStatementThatWaitsWhenItsKeyMovesRunsUnderTheNewTeam) {
  // Guards against the name of a team that does not hold the key any more.
  ScriptedNode node;
  node.ApplyTeams(MakeTeams({{"key-a", "team-a"}}));
  const uint64_t session = node.OpenCaller("entries", "key-a");
  node.GetCore().HandleCallerFrame(session, "QUERY q WRITE it a");
  node.ApplyTeams(MakeTeams({{"key-a", "team-b"}}));
  node.Run(std::chrono::milliseconds(50));
  CHECK(IsServed(node.GetAnswer(session)));
  STRCMP_EQUAL("team-b", node.GetRuns().back().opened_by.c_str());
}

TEST(Teams, AReadIsNotRepeatedAfterItsKeyIsWithdrawn) {
  // Guards against a statement that was running when its key was withdrawn,
  // and that is sent again.
  ScriptedNode node;
  node.ApplyTeams(MakeTeams({{"key-a", "team-a"}}));
  const uint64_t session = node.OpenCaller("entries", "key-a");
  CHECK(IsServed(node.Ask(session, "READ it")));
  node.SetScript(AnswerFirst("READ", 1, "silence"));
  node.GetCore().HandleCallerFrame(session, "QUERY q READ it");
  node.Run(std::chrono::milliseconds(5));
  const size_t runs = node.GetRuns().size();
  node.ApplyTeams(MakeTeams({{"key-b", "team-b"}}));
  node.DropConnections();
  node.Run(std::chrono::milliseconds(500));
  LONGS_EQUAL(runs, node.GetRuns().size());
  CHECK(IsUnauthorized(node.GetAnswer(session)));
  CHECK(node.IsClosed(session));
}

TEST(Teams, WhetherARouteIsPublicFollowsTheConfiguration) {
  // Guards against sessions judged by the configuration under which they were
  // opened.
  ScriptedNode node;
  const auto teams = MakeTeams({{"key-a", "team-a"}});
  node.ApplyTeams(teams, 32, "entries");
  const uint64_t anonymous = node.OpenCaller("entries", "anyone");
  CHECK(IsServed(node.Ask(anonymous, "READ it")));
  STRCMP_EQUAL("vm-0", node.GetRuns().back().opened_by.c_str());
  const uint64_t known = node.OpenCaller("entries", "key-a");
  CHECK(IsServed(node.Ask(known, "READ it")));
  STRCMP_EQUAL("team-a", node.GetRuns().back().opened_by.c_str());
  node.Ask(anonymous, "BEGIN");
  CHECK(IsServed(node.Ask(anonymous, "WRITE it a")));
  node.ApplyTeams(teams);
  CHECK(IsUnauthorized(node.Ask(anonymous, "COMMIT")));
  LONGS_EQUAL(0, node.CountTexts("COMMIT"));
  // The other way round, the key is not needed any more.
  node.ApplyTeams(MakeTeams({{"key-b", "team-b"}}), 32, "entries");
  CHECK(IsServed(node.Ask(known, "READ it")));
  STRCMP_EQUAL("vm-0", node.GetRuns().back().opened_by.c_str());
}

TEST(Teams, AStatementWithoutATeamDoesNotHoldUpATeam) {
  // Guards against a queue that stops at a caller of a public route whose
  // connection is being opened.
  ScriptedNode node;
  node.ApplyTeams(MakeTeams({{"key-a", "team-a"}}), 32, "entries");
  const uint64_t known = node.OpenCaller("entries", "key-a");
  const uint64_t anonymous = node.OpenCaller("entries", "anyone");
  CHECK(IsServed(node.Ask(known, "WRITE it a")));
  CHECK(IsServed(node.Ask(known, "WRITE it a")));
  const Duration alone = node.GetElapsed();
  node.Run(std::chrono::milliseconds(5));
  node.GetCore().HandleCallerFrame(anonymous, "QUERY q WRITE it b");
  CHECK(IsServed(node.Ask(known, "WRITE it a")));
  LONGS_EQUAL(alone.count(), node.GetElapsed().count());
}

TEST(Teams, ALongQueueOfOneTeamDoesNotHideAnother) {
  // Guards against a search of the queue that ends before the statement whose
  // connection is idle: 98 statements of the busy team wait in front of it.
  ScriptedNode node;
  // Three connections, fewer than the statements that may run.
  node.ApplyTeams(MakeTeams({{"key-a", "busy"}, {"key-b", "quiet"}}), 5);
  std::vector<uint64_t> busy;
  for (int n = 0; n < 100; ++n) {
    busy.push_back(node.OpenCaller("entries", "key-a"));
  }
  const uint64_t quiet = node.OpenCaller("entries", "key-b");
  CHECK(IsServed(node.Ask(quiet, "WRITE it b")));
  node.SetScript([](std::string_view text, char&) {
    return text == "WRITE it a" ? std::optional<std::string>("silence")
                                : std::nullopt;
  });
  for (const uint64_t it : busy) {
    node.GetCore().HandleCallerFrame(it, "QUERY b WRITE it a");
  }
  node.Run(std::chrono::milliseconds(10));
  CHECK(IsServed(node.Ask(quiet, "WRITE it b", std::chrono::milliseconds(5))));
}

TEST(Teams, AThirdTeamIsServedBesideTwoBusyOnes) {
  // Guards against two teams that take all connections in turn.
  ScriptedNode node;
  constexpr uint32_t kMaxConnections = 6;
  node.ApplyTeams(MakeTeams({{"key-a", "a"}, {"key-b", "b"}, {"key-c", "c"}}),
                  kMaxConnections);
  std::vector<uint64_t> busy;
  for (int n = 0; n < 60; ++n) {
    busy.push_back(node.OpenCaller("entries", n % 2 == 0 ? "key-a" : "key-b"));
  }
  const uint64_t quiet = node.OpenCaller("entries", "key-c");
  int sent = 0;
  const auto send = [&](uint64_t session) {
    node.ClearAnswer(session);
    node.GetCore().HandleCallerFrame(
        session, "QUERY b" + std::to_string(++sent) + " WRITE it x");
  };
  const auto run = [&](int steps) {
    for (int n = 0; n < steps; ++n) {
      node.Run(std::chrono::milliseconds(1));
      for (const uint64_t it : busy) {
        if (node.GetAnswer(it).find("READY") != std::string::npos) {
          send(it);
        }
      }
    }
  };
  for (const uint64_t it : busy) {
    send(it);
  }
  run(100);
  node.ClearAnswer(quiet);
  node.GetCore().HandleCallerFrame(quiet, "QUERY c WRITE it c");
  run(200);
  CHECK(IsServed(node.GetAnswer(quiet)));
  CHECK(node.CountOpenConnections() <= kMaxConnections);
}

TEST(Teams, AStatementOfANewTeamOpensOneConnection) {
  // Guards against a second connection for the same statement, which costs a
  // handshake and another team's connection.
  ScriptedNode node;
  node.ApplyTeams(MakeTeams({{"key-a", "team-a"}, {"key-b", "team-b"}}));
  size_t opened = 0;
  for (const char* key : {"key-a", "key-b"}) {
    const uint64_t session = node.OpenCaller("entries", key);
    CHECK(IsServed(node.Ask(session, "WRITE it a")));
    node.Run(std::chrono::milliseconds(50));
    LONGS_EQUAL(++opened, node.CountOpenedConnections());
  }
}

TEST(Teams, TeamsMayBeIntroducedAndRemoved) {
  // Guards against connections of teams that keep all others out after the
  // configuration names no teams any more, and the other way round.
  ScriptedNode node;
  const uint64_t session = node.OpenCaller("entries", "key-a");
  for (int n = 0; n < 3; ++n) {
    node.ApplyTeams(nullptr, 1);
    CHECK(IsServed(node.Ask(session, "READ it")));
    STRCMP_EQUAL("vm-0", node.GetRuns().back().opened_by.c_str());
    node.ApplyTeams(MakeTeams({{"key-a", "team-a"}}), 1);
    CHECK(IsServed(node.Ask(session, "READ it")));
    STRCMP_EQUAL("team-a", node.GetRuns().back().opened_by.c_str());
  }
}

TEST(Teams, ATeamsStatementsGoToOneHolderAndToTheNextIfItFails) {
  // Guards against connections for each team at each holder, and against a
  // team whose holder failed.
  ScriptedNode node;
  node.ApplyTeams(MakeTeams({{"key-a", "team-a"}, {"key-b", "team-b"}}), 66);
  const std::vector<std::string> holders = {"vm-1", "vm-2", "vm-3", "vm-4"};
  node.ApplyHolders(holders);
  const auto rank = [&](size_t it, const char* team) {
    return RankForTeam(TeamId{team}, EndpointId{"db-0"}, VmId{holders[it]});
  };
  for (const auto& [key, team] :
       {std::pair("key-a", "team-a"), std::pair("key-b", "team-b")}) {
    std::vector<size_t> order = {0, 1, 2, 3};
    std::sort(order.begin(), order.end(), [&](size_t one, size_t other) {
      return rank(one, team) > rank(other, team);
    });
    const uint64_t session = node.OpenCaller("entries", key);
    const auto preferred = static_cast<uint16_t>(7000 + order[0]);
    for (int n = 0; n < 3; ++n) {
      CHECK(IsServed(node.Ask(session, "WRITE it a")));
      LONGS_EQUAL(preferred, node.GetRuns().back().port);
      STRCMP_EQUAL(team, node.GetRuns().back().opened_by.c_str());
    }
    node.SetRefused(preferred, true);
    node.DropConnections();
    CHECK(IsServed(node.Ask(session, "WRITE it a")));
    LONGS_EQUAL(7000 + order[1], node.GetRuns().back().port);
    node.SetRefused(preferred, false);
    node.Run(std::chrono::seconds(10));
  }
}

TEST(Teams, WithoutHoldersFewDirectConnectionsAreOpened) {
  // Guards against each of 80 VMs opening a connection for each team while the
  // holders restart.
  ScriptedNode node;
  std::vector<std::pair<std::string, std::string>> keys;
  for (int n = 0; n < 12; ++n) {
    keys.emplace_back("key-" + std::to_string(n), "team-" + std::to_string(n));
  }
  node.ApplyTeams(MakeTeams(keys), 66);
  node.ApplyHolders({"vm-1", "vm-2", "vm-3", "vm-4"});
  std::vector<uint64_t> sessions;
  for (const auto& [key, team] : keys) {
    sessions.push_back(node.OpenCaller("entries", key));
    // Idle connections to holders.
    CHECK(IsServed(node.Ask(sessions.back(), "WRITE it a")));
  }
  for (uint16_t port = 7000; port < 7004; ++port) {
    node.SetRefused(port, true);
  }
  for (const uint64_t it : sessions) {
    node.GetCore().HandleCallerFrame(it, "QUERY q WRITE it a");
  }
  node.DropConnections();
  for (int n = 0; n < 400; ++n) {
    node.Run(std::chrono::milliseconds(1));
    CHECK(node.CountOpenConnections(9000) <= kMaxScarceConnections);
  }
}

TEST_GROUP(TeamRank){};

TEST(TeamRank, TeamsAreSpreadAndTheLossOfAHolderMovesOnlyItsTeams) {
  // Guards against a rank that puts most teams on one holder, or all of them
  // on another one when a holder is lost.
  const std::vector<VmId> holders = {VmId{"vm-1"}, VmId{"vm-2"}, VmId{"vm-3"},
                                     VmId{"vm-4"}};
  const auto choose = [&](const TeamId& team, size_t lost) {
    size_t best = lost == 0 ? 1 : 0;
    for (size_t it = 0; it < holders.size(); ++it) {
      const auto rank = [&](size_t n) {
        return RankForTeam(team, EndpointId{"db-0"}, holders[n]);
      };
      best = it != lost && rank(it) > rank(best) ? it : best;
    }
    return best;
  };
  std::vector<int> counts(holders.size(), 0);
  for (int n = 0; n < 400; ++n) {
    const TeamId team{"team-" + std::to_string(n)};
    const size_t chosen = choose(team, holders.size());
    ++counts[chosen];
    for (size_t lost = 0; lost < holders.size(); ++lost) {
      CHECK(lost == chosen ? choose(team, lost) != chosen
                           : choose(team, lost) == chosen);
    }
  }
  for (const int it : counts) {
    CHECK(it > 60 && it < 140);
  }
}

}  // namespace magnoliareel
