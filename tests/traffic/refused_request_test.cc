// What the pool sends on its own behalf may be refused: a statement behind it
// must not be told as done, nor run for another caller.

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "tests/traffic/scripted_node.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;

}  // namespace

TEST_GROUP_BASE(RefusedInPassing, ScriptedNodeGroup){};

TEST(RefusedInPassing, AWriteBehindARefusedRollbackIsNotToldAsDone) {
  // Guards against a write that is acknowledged inside the pool's own
  // transaction, which is rolled back later.
  ScriptedNode node;
  const uint64_t session = node.OpenCaller();
  CheckAnswer("COMPLETE proof", node.Ask(session, "READ warm-up"));
  node.Run(milliseconds(10));
  node.SetScript(AnswerFirst("ROLLBACK", 1, "ERROR BUSY db-0\r\n"));
  const std::string answer = node.Ask(session, "WRITE item1 x");
  const ScriptedRun& run = node.GetRuns().back();
  CHECK_TEXT(!(answer.starts_with("COMPLETE") && run.in_transaction),
             answer.c_str());
  node.Run(milliseconds(20));
  CheckAnswer("COMPLETE proof", node.Ask(session, "WRITE item1 y"));
  CHECK(!node.GetRuns().back().in_transaction);
}

TEST(RefusedInPassing, ATransactionThatIsNotRolledBackIsNotUsedAgain) {
  ScriptedNode node;
  const uint64_t first = node.OpenCaller();
  const uint64_t second = node.OpenCaller();
  node.Ask(first, "BEGIN");
  CheckAnswer("COMPLETE proof", node.Ask(first, "WRITE item1 x"));
  const uint64_t connection = node.GetRuns().back().connection;
  node.SetScript(AnswerFirst("ROLLBACK", 2, "ERROR BUSY db-0\r\n"));
  node.Ask(first, "ROLLBACK");
  node.Run(milliseconds(20));
  const std::string answer = node.Ask(second, "WRITE item2 x");
  const ScriptedRun& run = node.GetRuns().back();
  CHECK_TEXT(!(run.connection == connection && run.in_transaction),
             answer.c_str());
}

TEST(RefusedInPassing, AWordThatIsRefusedDoesNotLeaveAnotherCallersValue) {
  ScriptedNode node;
  const uint64_t first = node.OpenCaller();
  const uint64_t second = node.OpenCaller();
  node.Ask(first, "SET tenant alpha");
  CheckAnswer("COMPLETE proof", node.Ask(first, "WRITE item1 x"));
  node.Run(milliseconds(10));
  node.SetScript(AnswerFirst("SET tenant beta", 100, "ERROR FAILED odd\r\n"));
  node.Ask(second, "SET tenant beta");
  const std::string answer = node.Ask(second, "WRITE item2 x");
  for (const ScriptedRun& it : node.GetRuns()) {
    CHECK_TEXT(
        !(it.text.starts_with("WRITE item2") && it.values.contains("tenant") &&
          it.values.at("tenant") == "alpha"),
        answer.c_str());
  }
}

TEST(RefusedInPassing, AStatementBehindARefusedResetDoesNotRun) {
  ScriptedNode node;
  const uint64_t first = node.OpenCaller();
  const uint64_t second = node.OpenCaller();
  node.Ask(first, "SET tenant alpha");
  CheckAnswer("COMPLETE proof", node.Ask(first, "WRITE item1 x"));
  node.Run(milliseconds(10));
  node.SetScript(AnswerFirst("RESET", 1, "ERROR BUSY db-0\r\n"));
  const std::string answer = node.Ask(second, "WRITE item2 x");
  for (const ScriptedRun& it : node.GetRuns()) {
    CHECK_TEXT(
        !(it.text.starts_with("WRITE item2") && it.values.contains("tenant")),
        answer.c_str());
  }
}

TEST(RefusedInPassing, ManyRefusedValuesDoNotStopTheThread) {
  ScriptedNode node;
  const uint64_t session = node.OpenCaller();
  CheckAnswer("COMPLETE proof", node.Ask(session, "READ warm-up"));
  node.SetScript(AnswerFirst("SET ", 10'000'000, "ERROR FAILED odd\r\n"));
  // As many as a session may hold.
  size_t count = 0;
  while (node.Ask(session, "SET v" + std::to_string(count) + " a b")
             .starts_with("COMPLETE")) {
    ++count;
  }
  CHECK(count > 5000);
  const auto began = std::chrono::steady_clock::now();
  const std::string answer = node.Ask(session, "WRITE item1 x");
  const auto took = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - began);
  const std::string text = std::to_string(took.count()) + " ms; " + answer;
  CHECK_TEXT(took < milliseconds(1000), text.c_str());
}

TEST(RefusedInPassing, ASmallStatementDoesNotCostMegabytes) {
  ScriptedNode node;
  const uint64_t big = node.OpenCaller();
  const uint64_t other = node.OpenCaller();
  const std::string value(1000 * 1000, 'v');
  for (int n = 0; n < 15; ++n) {
    node.Ask(big, "SET v" + std::to_string(n) + " " + value);
  }
  const size_t before = node.CountTexts("SET ");
  for (int n = 0; n < 5; ++n) {
    CheckAnswer("COMPLETE proof", node.Ask(big, "READ it"));
    node.Run(milliseconds(10));
    CheckAnswer("COMPLETE proof", node.Ask(other, "READ it"));
    node.Run(milliseconds(10));
  }
  const std::string sets = std::to_string(node.CountTexts("SET ") - before);
  CHECK_TEXT(node.CountTexts("SET ") - before <= 15, sets.c_str());
}

TEST_GROUP_BASE(MemoryLimits, ScriptedNodeGroup){};

TEST(MemoryLimits, ACallerThatIsFarAheadIsNotReadUntilItsMessagesWereHandled) {
  // Guards against a backlog that grows with what a caller sends.
  ScriptedNode node;
  const uint64_t session = node.OpenCaller();
  const std::string key(3000, 'k');
  for (int n = 0; n < 2; ++n) {
    node.GetCore().HandleCallerFrame(session, "QUERY a READ " + key);
    CHECK_FALSE(node.IsPaused(session));
  }
  node.GetCore().HandleCallerFrame(session, "QUERY b READ " + key);
  CHECK(node.IsPaused(session));
  node.Run(milliseconds(100));
  CHECK_FALSE(node.IsPaused(session));
  CHECK(!node.GetCore().IsBusy(session));
  LONGS_EQUAL(0, node.GetCore().GetBacklogBytes(session));
}

TEST(MemoryLimits, LargeSessionsAreRefusedMoreValuesAndSmallOnesAreNot) {
  // Guards against sessions whose values together exceed the memory.
  ScriptedNode node(false, {.held_text = 100'000});
  const uint64_t first = node.OpenCaller();
  const uint64_t second = node.OpenCaller();
  const std::string value(60'000, 'v');
  CheckAnswer("COMPLETE", node.Ask(first, "SET large " + value));
  CheckAnswer("ERROR BUSY", node.Ask(second, "SET large " + value));
  CheckAnswer("COMPLETE", node.Ask(second, "SET small 1"));
  // What a session held is free when it ends.
  node.GetCore().CloseSession(first);
  CheckAnswer("COMPLETE", node.Ask(second, "SET large " + value));
}

TEST(MemoryLimits, AnyNumberOfWaitingStatementsMayFailAtOnce) {
  // Guards against a call for each of them within the call for the one before:
  // the process ended with a full stack.
  ScriptedNode node(false, {.statement_text = 1});
  const uint64_t session = node.OpenCaller();
  node.GetCore().HandleCallerFrame(session, "QUERY first READ key");
  const std::string line = "QUERY q READ " + std::string(5000, 'k');
  for (int n = 0; n < 20'000; ++n) {
    node.GetCore().HandleCallerFrame(session, line);
  }
  node.Run(milliseconds(100));
  LONGS_EQUAL(0, node.GetCore().GetBacklogBytes(session));
  LONGS_EQUAL(20'000, node.GetCore().GetStatementText().CountRefused());
}

}  // namespace magnoliareel
