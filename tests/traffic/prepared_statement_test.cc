// Prepared statements and session values: what a database runs is what its
// caller prepared, set and sent, and what can never run is refused at once.

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tests/traffic/random_sessions.h"
#include "tests/traffic/scripted_node.h"
#include "tests/traffic/traffic_simulation.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;

constexpr size_t kMaxLine = 1024 * 1024;
// A statement that can never run ends well before this.
constexpr Duration kAtOnce = milliseconds(100);

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

/** Callers on several VMs, each with one session. */
class SimulatedCallers {
 public:
  SimulatedCallers(size_t vms, uint32_t connections)
      : simulation_(vms, MakeOptions(connections)) {
    simulation_.SetCallerOutput(
        [this](size_t, uint64_t session, std::string_view line) {
          answers_[session].append(line).append("\n");
        });
    Run(std::chrono::seconds(2));
    for (size_t vm = 0; vm < vms; ++vm) {
      sessions_.push_back(simulation_.OpenCaller(vm));
      simulation_.Send(vm, sessions_[vm], "STARTUP entries caller");
    }
  }

  /** Sends a text from the caller of each VM, and waits for the answers. */
  void AskAll(const std::string& id, std::string_view text) {
    for (size_t vm = 0; vm < sessions_.size(); ++vm) {
      simulation_.Send(
          vm, sessions_[vm],
          "QUERY " + id + "-" + std::to_string(vm) + " " + std::string(text));
    }
    Run(milliseconds(900));
  }
  std::string TakeAnswers() {
    std::string all;
    for (auto& [session, it] : answers_) {
      all += std::exchange(it, {});
    }
    return all;
  }
  void Run(Duration time) {
    EventQueue& queue = simulation_.GetQueue();
    queue.RunUntil(queue.Now() + time);
  }
  /** @returns the executions of the requests whose id begins with a text */
  std::vector<ExecutedStatement> FindExecutions(std::string_view id) {
    std::vector<ExecutedStatement> found;
    for (const ExecutedStatement& it :
         simulation_.GetGroup().GetExecutedStatements()) {
      if (it.request.starts_with(id)) {
        found.push_back(it);
      }
    }
    return found;
  }
  TrafficSimulation& GetSimulation() { return simulation_; }

 private:
  static GroupOptions MakeOptions(uint32_t connections) {
    GroupOptions options;
    options.max_connections = connections;
    return options;
  }

  TrafficSimulation simulation_;
  std::vector<uint64_t> sessions_;
  std::map<uint64_t, std::string> answers_;
};

}  // namespace

TEST_GROUP_BASE(PreparedStatement, ScriptedNodeGroup){};

TEST(PreparedStatement, CallersWhoseShapesBeginAlikeRunTheirOwn) {
  // Guards against a name with the caller's text in it: "READ q12 READ fp"
  // replaced "READ q12" of another caller on the same connection.
  ScriptedNode node;
  const uint64_t first = node.OpenCaller();
  const uint64_t second = node.OpenCaller();
  node.Ask(first, "PREPARE s1 READ q12");
  node.Ask(second, "PREPARE s1 READ q12 READ fp");
  for (int n = 0; n < 3; ++n) {
    CheckAnswer("COMPLETE proof", node.Ask(first, "EXECUTE s1 it"));
    STRCMP_EQUAL("READ q12", node.GetRuns().back().shape.c_str());
    CheckAnswer("COMPLETE proof", node.Ask(second, "EXECUTE s1 it"));
    STRCMP_EQUAL("READ q12 READ fp", node.GetRuns().back().shape.c_str());
  }
  LONGS_EQUAL(2, node.CountTexts("PREPARE "));
}

TEST(PreparedStatement, ShapesAndArgumentsArriveAsTheyWereSent) {
  // Guards against text that a field's end cuts, and blanks that are added or
  // dropped.
  ScriptedNode node;
  const uint64_t session = node.OpenCaller();
  for (const std::string_view shape :
       {"q12", "q12 READ", "q12 READ fp", "qb READ tqfdiszgb", "q27 WRITE vq",
        "READ", "WRITE WRITE", "a  b", "a ", "a  ", " a", "AFTER 3.1 READ x",
        "EXECUTE p1", "p1", "\xc3\xa9\t\x01"}) {
    for (const std::string_view kind : {"READ ", "WRITE "}) {
      std::string text = "PREPARE s1 ";
      node.Ask(session, text.append(kind).append(shape));
      for (const std::string_view arguments :
           {"", " ", " #", "  x", " it data", " it  two ", " it READ p1"}) {
        const std::string answer =
            node.Ask(session, std::string("EXECUTE s1").append(arguments));
        CheckAnswer("COMPLETE proof", answer);
        const ScriptedRun& run = node.GetRuns().back();
        CHECK_TEXT(run.shape == std::string(kind).append(shape),
                   (run.shape + " for " + text).c_str());
        CHECK_TEXT(GetArguments(run.text) == arguments, run.text.c_str());
      }
    }
  }
}

TEST(PreparedStatement, AWriteWhoseShapeNamesAKindWritesItsOwnItem) {
  // Guards against a write that is acknowledged with the database's proof and
  // has written another item.
  SimulatedCallers callers(1, 32);
  callers.AskAll("p", "PREPARE s1 WRITE q27 WRITE vq");
  callers.AskAll("w", "EXECUTE s1 item1 data of two words");
  const std::string answers = callers.TakeAnswers();
  CHECK_TEXT(Contains(answers, "COMPLETE proof-w-0"), answers.c_str());
  const auto& commits = callers.GetSimulation().GetGroup().GetCommits();
  CHECK(!commits.empty());
  STRCMP_EQUAL("item1", commits.back().writes.front().first.c_str());
  STRCMP_EQUAL("data of two words",
               commits.back().writes.front().second.c_str());
}

TEST(PreparedStatement, ForwardedExecutionsRunTheShapesOfTheirCallers) {
  // Guards against names that two VMs, or a VM and its holder, make of the same
  // text: twelve VMs share ten connections.
  SimulatedCallers callers(12, 10);
  const std::vector<std::string> shapes = {
      "READ q12",           "READ q12 READ fp", "READ qb READ tqfdiszgb",
      "WRITE q27 WRITE vq", "READ a  b ",       "WRITE q12"};
  for (int round = 0; round < 2; ++round) {
    for (size_t n = 0; n < shapes.size(); ++n) {
      const std::string id = std::to_string(round) + "x" + std::to_string(n);
      callers.AskAll("p" + id, "PREPARE s1 " + shapes[n]);
      callers.AskAll(id, "EXECUTE s1 item1 x");
      const std::vector<ExecutedStatement> runs = callers.FindExecutions(id);
      CHECK_TEXT(runs.size() >= 12, callers.TakeAnswers().c_str());
      for (const ExecutedStatement& it : runs) {
        STRCMP_EQUAL(shapes[n].c_str(), it.shape.c_str());
        CHECK_TEXT(GetArguments(it.text) == " item1 x", it.text.c_str());
      }
    }
  }
  uint64_t forwarded = 0;
  for (size_t vm = 0; vm < 12; ++vm) {
    forwarded += callers.GetSimulation().GetCore(vm).GetCounters().forwarded;
  }
  CHECK(forwarded > 12);
}

TEST(PreparedStatement, ARefusedPrepareEndsItsExecutionWithTheReason) {
  // Guards against a dozen attempts, and then BUSY, for what can never run.
  for (const auto& [refusal, told] :
       {std::pair("MALFORMED", "MALFORMED"), std::pair("TOOLARGE", "TOOLARGE"),
        std::pair("NOAUTH", "NOAUTH"), std::pair("FAILED", "MALFORMED"),
        std::pair("TIMEOUT", "MALFORMED"), std::pair("UNKNOWN", "MALFORMED"),
        std::pair("NODB", "MALFORMED")}) {
    for (const char* kind : {"READ", "WRITE"}) {
      ScriptedNode node;
      const uint64_t session = node.OpenCaller();
      CheckAnswer("COMPLETE", node.Ask(session, "READ warm-up"));
      node.SetScript(AnswerFirst(
          "PREPARE ", 100, std::string("ERROR ") + refusal + " odd shape\r\n"));
      node.Ask(session, std::string("PREPARE s1 ") + kind + " q1");
      const std::string answer = node.Ask(session, "EXECUTE s1 it");
      CheckAnswer(std::string("ERROR ") + told + " odd shape\nREADY I", answer);
      CHECK(node.GetElapsed() < kAtOnce);
      LONGS_EQUAL(1, node.CountTexts("PREPARE "));
      LONGS_EQUAL(1, node.CountTexts("EXECUTE "));
      // The connection is as good as before for others.
      node.SetScript({});
      const size_t opened = node.CountOpenedConnections();
      CheckAnswer("COMPLETE proof", node.Ask(session, "EXECUTE s1 it"));
      LONGS_EQUAL(opened, node.CountOpenedConnections());
    }
  }
}

TEST(PreparedStatement, AnExecutionThatMayHaveRunIsNotToldAsRefused) {
  // Guards against "malformed" for a write that ran: a PREPARE that timed out
  // may have had its effect.
  ScriptedNode node;
  const uint64_t session = node.OpenCaller();
  int prepares = 0;
  node.SetScript([&](std::string_view text,
                     char&) -> std::optional<std::string> {
    if (text.starts_with("PREPARE ")) {
      ++prepares;
      return "ERROR TIMEOUT late\r\n";
    }
    if (text.starts_with("EXECUTE ")) {
      return prepares == 1 ? "ERROR UNKNOWN lost\r\n" : "COMPLETE proof\r\n";
    }
    return std::nullopt;
  });
  node.Ask(session, "PREPARE s1 WRITE q1");
  CheckAnswer("ERROR UNKNOWN lost", node.Ask(session, "EXECUTE s1 it"));
  CheckAnswer("COMPLETE proof", node.Ask(session, "EXECUTE s1 it"));
}

TEST(PreparedStatement, APrepareThatIsRefusedInPassingIsRetried) {
  for (const char* refusal : {"BUSY", "LAGGING"}) {
    ScriptedNode node;
    const uint64_t session = node.OpenCaller();
    node.SetScript(AnswerFirst("PREPARE ", 2,
                               std::string("ERROR ") + refusal + " db-0\r\n"));
    node.Ask(session, "PREPARE s1 WRITE q1");
    CheckAnswer("COMPLETE proof", node.Ask(session, "EXECUTE s1 it"));
    LONGS_EQUAL(3, node.CountTexts("PREPARE "));
    LONGS_EQUAL(1, node.GetRuns().size());
  }
}

TEST(PreparedStatement, ARefusedPrepareLeavesItsTransactionAsTheDatabaseHasIt) {
  ScriptedNode node;
  const uint64_t session = node.OpenCaller();
  node.Ask(session, "PREPARE s1 WRITE q1");
  node.Ask(session, "BEGIN");
  CheckAnswer("COMPLETE proof", node.Ask(session, "WRITE item1 x"));
  node.SetScript(AnswerFirst("PREPARE ", 1, "ERROR FAILED odd shape\r\n"));
  CheckAnswer("ERROR MALFORMED odd shape\nREADY T",
              node.Ask(session, "EXECUTE s1 it"));
  // A holder whose session has lost the transaction answers PREPARE with this.
  node.SetScript(
      AnswerFirst("PREPARE ", 1, "ERROR ABORTED rolled back\r\n", 'E'));
  CheckAnswer("ERROR ABORTED rolled back\nREADY E",
              node.Ask(session, "EXECUTE s1 it"));
  CheckAnswer("COMPLETE -\nREADY I", node.Ask(session, "ROLLBACK"));
  CheckAnswer("COMPLETE proof", node.Ask(session, "EXECUTE s1 it"));
}

TEST(PreparedStatement, AnUnknownNameIsRetriedOnceOnAnotherConnection) {
  // Guards against a dozen executions of a name that the database doesn't know.
  for (const char* kind : {"READ", "WRITE"}) {
    ScriptedNode node;
    const uint64_t session = node.OpenCaller();
    node.Ask(session, std::string("PREPARE s1 ") + kind + " q1");
    node.SetScript(AnswerFirst("EXECUTE ", 1, "ERROR NOSTMT p1\r\n"));
    const size_t opened = node.CountOpenedConnections();
    CheckAnswer("COMPLETE proof", node.Ask(session, "EXECUTE s1 it"));
    CHECK(node.CountOpenedConnections() > opened);
    LONGS_EQUAL(2, node.CountTexts("PREPARE "));
    node.SetScript(AnswerFirst("EXECUTE ", 100, "ERROR NOSTMT p1\r\n"));
    // The caller's name is known: its PREPARE was acknowledged.
    CheckAnswer("ERROR ABORTED ", node.Ask(session, "EXECUTE s1 it"));
    CHECK(node.GetElapsed() < kAtOnce);
    LONGS_EQUAL(4, node.CountTexts("EXECUTE "));
  }
}

TEST(PreparedStatement, AnUnknownNameInATransactionIsPreparedOnceMore) {
  ScriptedNode node;
  const uint64_t session = node.OpenCaller();
  node.Ask(session, "PREPARE s1 WRITE q1");
  node.Ask(session, "BEGIN");
  CheckAnswer("COMPLETE proof", node.Ask(session, "WRITE item1 x"));
  node.SetScript(AnswerFirst("EXECUTE ", 1, "ERROR NOSTMT p1\r\n"));
  CheckAnswer("COMPLETE proof", node.Ask(session, "EXECUTE s1 it"));
  const std::vector<ScriptedRun>& runs = node.GetRuns();
  LONGS_EQUAL(runs.front().connection, runs.back().connection);
  LONGS_EQUAL(2, node.CountTexts("PREPARE "));
  node.SetScript(AnswerFirst("EXECUTE ", 100, "ERROR NOSTMT p1\r\n"));
  const std::string answer = node.Ask(session, "EXECUTE s1 it");
  CheckAnswer("ERROR ABORTED ", answer);
  CHECK(answer.find("READY E") != std::string::npos);
  CHECK(node.GetElapsed() < kAtOnce);
  LONGS_EQUAL(4, node.CountTexts("EXECUTE "));
  LONGS_EQUAL(1, node.CountTexts("ROLLBACK"));
}

TEST(PreparedStatement, ManyShapesKeepTheNamesOfAConnectionFew) {
  // Guards against names that grow with every shape of every caller.
  ScriptedNode node;
  const uint64_t session = node.OpenCaller();
  for (const size_t length : {6, 4000}) {
    for (int n = 0; n < 600; ++n) {
      std::string shape = std::to_string(n);
      shape.resize(length, 'x');
      node.Ask(session, "PREPARE s1 WRITE " + shape);
      CheckAnswer("COMPLETE proof", node.Ask(session, "EXECUTE s1 it"));
      CHECK(node.GetRuns().back().shape == "WRITE " + shape);
    }
    const size_t limit = std::min<size_t>(256, 64 * 1024 / length);
    CHECK(node.CountPrepared() <= limit * node.CountOpenedConnections());
  }
  // A shape that is longer than the limit is alone.
  const std::string longest = "WRITE " + std::string(200'000, 'y');
  node.Ask(session, "PREPARE s1 " + longest);
  CheckAnswer("COMPLETE proof", node.Ask(session, "EXECUTE s1 it"));
  CHECK(node.GetRuns().back().shape == longest);
}

TEST(PreparedStatement, TheCallerIsToldThatAPrepareCanNotBeSent) {
  // Guards against lines over the limit, for which a database closes.
  ScriptedNode node;
  const uint64_t session = node.OpenCaller();
  node.Ask(session, "READ warm-up");
  const size_t longest =
      kMaxLine - std::string_view("QUERY - PREPARE p4294967295 WRITE ").size();
  const std::string fits(longest, 'x');
  CheckAnswer("ERROR TOOLARGE", node.Ask(session, "PREPARE s WRITE x" + fits));
  LONGS_EQUAL(0, node.CountTexts("PREPARE"));
  CheckAnswer("ERROR NOSTMT", node.Ask(session, "EXECUTE s it"));
  CheckAnswer("COMPLETE -", node.Ask(session, "PREPARE s WRITE " + fits));
  CheckAnswer("COMPLETE proof", node.Ask(session, "EXECUTE s it"));
  const std::string arguments(
      kMaxLine - std::string_view("QUERY q99 EXECUTE s ").size(), 'y');
  CheckAnswer("ERROR TOOLARGE", node.Ask(session, "EXECUTE s " + arguments));
  CHECK(node.GetLongestLine() <= kMaxLine);
}

TEST(PreparedStatement, ALongReadThatLeavesNoRoomForALogPointRunsAtThePrimary) {
  ScriptedNode node(true);
  const uint64_t session = node.OpenCaller("lookups");
  for (const size_t room : {200, 10}) {
    const std::string item(
        kMaxLine - std::string_view("QUERY q9 READ ").size() - room, 'x');
    CheckAnswer("COMPLETE proof", node.Ask(session, "READ " + item));
    CheckAnswer("COMPLETE proof", node.Ask(session, "READ " + item));
    CHECK_EQUAL(room < 100, node.GetRuns().back().at_primary);
  }
  CHECK(node.GetLongestLine() <= kMaxLine);
}

TEST(PreparedStatement, ASessionHoldsALimitedAmountOfText) {
  ScriptedNode node;
  const uint64_t session = node.OpenCaller();
  const std::string text(1'000'000, 'x');
  std::string answer;
  size_t held = 0;
  for (int n = 0; n < 40; ++n) {
    const std::string name = "n" + std::to_string(n);
    answer = node.Ask(session, n % 2 == 0 ? "PREPARE " + name + " READ " + text
                                          : "SET " + name + " " + text);
    held += answer.starts_with("COMPLETE") ? 1 : 0;
  }
  CheckAnswer("ERROR TOOLARGE", answer);
  CHECK(held >= 10 && held <= 16);
  // The same name again replaces what it held.
  CheckAnswer("COMPLETE", node.Ask(session, "PREPARE n0 READ " + text));
  CheckAnswer("COMPLETE", node.Ask(session, "DEALLOC n0"));
  CheckAnswer("COMPLETE", node.Ask(session, "PREPARE n99 READ " + text));
}

TEST(PreparedStatement, ManyShapesOfOneCallerAreHeld) {
  // The target is 20,000 shapes of 200 characters from one caller.
  ScriptedNode node;
  const uint64_t session = node.OpenCaller();
  for (int n = 0; n < 20'000; ++n) {
    const std::string number = std::to_string(n);
    std::string shape = number;
    shape.resize(200, 'x');
    CheckAnswer("COMPLETE", node.Ask(session, std::string("PREPARE s")
                                                  .append(number)
                                                  .append(" READ ")
                                                  .append(shape)));
  }
}

TEST(PreparedStatement, RandomSessionsRunWhatTheyPreparedSetAndSent) {
  // Guards against all mixtures of names, shapes, values and refusals. In every
  // second run, VMs outnumber the connections.
  uint64_t unknown_names = 0;
  uint64_t values_refused = 0;
  int refused = 0;
  for (uint64_t seed = 1; seed <= 16; ++seed) {
    const bool is_scarce = seed % 2 == 0;
    RandomSessions sessions(seed, is_scarce ? 12 : 3, is_scarce ? 10 : 32);
    sessions.RunRounds(300);
    const std::string context = "seed " + std::to_string(seed) + ": ";
    for (const std::string& it : sessions.Check()) {
      FAIL((context + it).c_str());
    }
    uint64_t forwarded = 0;
    for (size_t vm = 0; vm < sessions.GetSimulation().CountVms(); ++vm) {
      const TrafficCounters& counters =
          sessions.GetSimulation().GetCore(vm).GetCounters();
      forwarded += counters.forwarded;
      unknown_names += counters.unknown_names;
      values_refused += counters.values_refused;
    }
    refused += sessions.GetRefusedCount();
    CHECK_TEXT(sessions.GetSuccessCount() > 300, context.c_str());
    CHECK_TEXT(!is_scarce || forwarded > 100, context.c_str());
  }
  CHECK(unknown_names > 16);
  CHECK(values_refused > 16);
  CHECK(refused > 16);
}

TEST_GROUP_BASE(SessionValue, ScriptedNodeGroup){};

TEST(SessionValue, AValueNeedsAField) {
  ScriptedNode node;
  const uint64_t session = node.OpenCaller();
  CheckAnswer("ERROR MALFORMED", node.Ask(session, "SET v1"));
  CheckAnswer("COMPLETE", node.Ask(session, "SET v1 "));
  CheckAnswer("COMPLETE proof", node.Ask(session, "READ it"));
  LONGS_EQUAL(1, node.GetRuns().back().values.size());
  STRCMP_EQUAL("", node.GetRuns().back().values.at("v1").c_str());
}

TEST(SessionValue, ValuesThatEachConnectionWouldCopyAreLimited) {
  // One caller's values of 16 MiB on a dozen connections exceeded a VM's
  // memory.
  ScriptedNode node;
  const uint64_t session = node.OpenCaller();
  const std::string value(1'000'000, 'x');
  CheckAnswer("COMPLETE", node.Ask(session, "SET a " + value));
  CheckAnswer("COMPLETE", node.Ask(session, "SET b " + value));
  CheckAnswer("ERROR TOOLARGE", node.Ask(session, "SET c " + value));
  CheckAnswer("COMPLETE", node.Ask(session, "SET b short"));
  CheckAnswer("COMPLETE", node.Ask(session, "SET c " + value));
  CheckAnswer("COMPLETE proof", node.Ask(session, "READ it"));
  LONGS_EQUAL(3, node.GetRuns().back().values.size());
}

TEST(SessionValue, ARefusedValueEndsTheStatementBeforeItRuns) {
  // Guards against a statement that runs with other values than its caller has
  // set, and against one caller's value that costs the others connections.
  for (const char* kind : {"READ", "WRITE"}) {
    for (const auto& [refusal, told] :
         {std::pair("MALFORMED", "MALFORMED"), std::pair("FAILED", "MALFORMED"),
          std::pair("UNKNOWN", "MALFORMED"), std::pair("NOAUTH", "NOAUTH")}) {
      ScriptedNode node;
      const uint64_t odd = node.OpenCaller();
      const uint64_t other = node.OpenCaller();
      CheckAnswer("COMPLETE proof", node.Ask(other, "READ warm-up"));
      node.Run(milliseconds(10));
      node.SetScript(AnswerFirst("SET v1 a b", 100,
                                 std::string("ERROR ") + refusal + " odd\r\n"));
      node.Ask(odd, "SET v0 plain");
      node.Ask(odd, "SET v1 a b");
      const size_t opened = node.CountOpenedConnections();
      const std::string answer = node.Ask(odd, std::string(kind) + " item1 x");
      CheckAnswer(std::string("ERROR ") + told + " odd\nREADY I", answer);
      CHECK(node.GetElapsed() < kAtOnce);
      LONGS_EQUAL(1, node.CountTexts("SET v1"));
      LONGS_EQUAL(1, node.GetRuns().size());
      CheckAnswer("COMPLETE proof", node.Ask(other, "WRITE item1 y"));
      CHECK(node.GetRuns().back().values.empty());
      LONGS_EQUAL(opened, node.CountOpenedConnections());
      // The value that the database took instead is acknowledged and used.
      node.Ask(odd, "SET v1 c d");
      CheckAnswer("COMPLETE proof", node.Ask(odd, "READ item1"));
      STRCMP_EQUAL("c d", node.GetRuns().back().values.at("v1").c_str());
      STRCMP_EQUAL("plain", node.GetRuns().back().values.at("v0").c_str());
    }
  }
}

TEST(SessionValue, AValueThatIsRefusedInPassingIsSetAgain) {
  ScriptedNode node;
  const uint64_t session = node.OpenCaller();
  node.SetScript(AnswerFirst("SET ", 2, "ERROR BUSY db-0\r\n"));
  node.Ask(session, "SET v1 a b");
  CheckAnswer("COMPLETE proof", node.Ask(session, "WRITE item1 x"));
  LONGS_EQUAL(1, node.GetRuns().size());
  STRCMP_EQUAL("a b", node.GetRuns().back().values.at("v1").c_str());
}

TEST(SessionValue, AStatementDoesNotRunBehindARefusedWord) {
  ScriptedNode node;
  const uint64_t session = node.OpenCaller();
  CheckAnswer("COMPLETE proof", node.Ask(session, "READ warm-up"));
  node.Run(milliseconds(10));
  node.SetScript(AnswerFirst("SET v1 word", 100, "ERROR FAILED odd\r\n"));
  node.Ask(session, "SET v1 word");
  const size_t opened = node.CountOpenedConnections();
  for (int n = 0; n < 3; ++n) {
    CheckAnswer("ERROR MALFORMED odd", node.Ask(session, "WRITE item1 x"));
  }
  LONGS_EQUAL(1, node.GetRuns().size());
  LONGS_EQUAL(opened, node.CountOpenedConnections());
}

TEST(SessionValue, ARefusedValueInATransactionEndsItsStatement) {
  ScriptedNode node;
  const uint64_t session = node.OpenCaller();
  node.Ask(session, "BEGIN");
  CheckAnswer("COMPLETE proof", node.Ask(session, "WRITE item1 x"));
  node.SetScript(AnswerFirst("SET v1 a b", 100, "ERROR FAILED odd\r\n"));
  node.Ask(session, "SET v1 a b");
  CheckAnswer("ERROR MALFORMED odd\nREADY T",
              node.Ask(session, "WRITE item2 x"));
  LONGS_EQUAL(1, node.GetRuns().size());
  // The commit would run with other values, too; then nothing is kept.
  CheckAnswer("ERROR MALFORMED odd\nREADY I", node.Ask(session, "COMMIT"));
  LONGS_EQUAL(0, node.CountTexts("COMMIT"));
  const uint64_t other = node.OpenCaller();
  CheckAnswer("COMPLETE proof", node.Ask(other, "WRITE item1 y"));
  CHECK(node.GetRuns().back().values.empty());
  CHECK(!node.GetRuns().back().in_transaction);
}

TEST(SessionValue, AStatementThatWaitsForAValueIsRolledBackAtItsDeadline) {
  // Guards against "not run" for a transaction that stays open, and against a
  // connection that two sessions use.
  ScriptedNode node;
  const uint64_t session = node.OpenCaller();
  node.Ask(session, "BEGIN");
  CheckAnswer("COMPLETE proof", node.Ask(session, "WRITE item1 x"));
  node.SetScript(AnswerFirst("SET v1 a b", 1, "silence"));
  node.Ask(session, "SET v1 a b");
  CheckAnswer("ERROR ABORTED", node.Ask(session, "WRITE item2 x"));
  CheckAnswer("COMPLETE -\nREADY I", node.Ask(session, "ROLLBACK"));
  CheckAnswer("COMPLETE proof", node.Ask(session, "WRITE item3 x"));
  STRCMP_EQUAL("a b", node.GetRuns().back().values.at("v1").c_str());
  LONGS_EQUAL(0, node.CountTexts("WRITE item2"));
}

TEST(SessionValue, AWordThatFailsTheTransactionAbortsIt) {
  // Guards against UNKNOWN for a commit that could not run: a holder whose
  // session has lost the transaction answers SET with this, too.
  for (const char* text : {"COMMIT", "WRITE item2 x"}) {
    ScriptedNode node;
    const uint64_t session = node.OpenCaller();
    node.Ask(session, "BEGIN");
    CheckAnswer("COMPLETE proof", node.Ask(session, "WRITE item1 x"));
    node.Ask(session, "SET v1 word");
    node.SetScript(
        AnswerFirst("SET ", 1, "ERROR ABORTED rolled back\r\n", 'E'));
    const size_t opened = node.CountOpenedConnections();
    CheckAnswer("ERROR ABORTED rolled back", node.Ask(session, text));
    node.Ask(session, "ROLLBACK");
    CheckAnswer("COMPLETE proof", node.Ask(session, "WRITE item3 x"));
    STRCMP_EQUAL("word", node.GetRuns().back().values.at("v1").c_str());
    LONGS_EQUAL(2, node.GetRuns().size());
    LONGS_EQUAL(opened, node.CountOpenedConnections());
  }
}

TEST(SessionValue, ALossWhileATransactionWaitsForAValueRollsItBack) {
  // Guards against UNKNOWN for a commit that was never sent, and against a
  // statement that is sent outside its transaction.
  for (const char* text : {"COMMIT", "WRITE item2 x"}) {
    ScriptedNode node;
    const uint64_t session = node.OpenCaller();
    node.Ask(session, "BEGIN");
    CheckAnswer("COMPLETE proof", node.Ask(session, "WRITE item1 x"));
    node.SetScript(AnswerFirst("SET v1 a b", 1, "silence"));
    node.Ask(session, "SET v1 a b");
    STRCMP_EQUAL("", node.Ask(session, text, milliseconds(20)).c_str());
    node.DropConnections();
    node.Run(milliseconds(20));
    CheckAnswer("ERROR ABORTED", node.GetAnswer(session));
    node.Ask(session, "ROLLBACK");
    CheckAnswer("COMPLETE proof", node.Ask(session, "WRITE item3 x"));
    LONGS_EQUAL(2, node.GetRuns().size());
    LONGS_EQUAL(0, node.CountTexts("COMMIT"));
  }
}

TEST(SessionValue, ACallerThatLeavesWhileAValueIsAwaitedCostsNobodyAnything) {
  // Guards against values of one caller under statements of the next one.
  ScriptedNode node;
  const uint64_t leaving = node.OpenCaller();
  CheckAnswer("COMPLETE proof", node.Ask(leaving, "READ warm-up"));
  node.Run(milliseconds(10));
  const size_t opened = node.CountOpenedConnections();
  node.SetScript(AnswerFirst("SET v1 a b", 1, "ERROR FAILED odd\r\n"));
  node.Ask(leaving, "SET v1 a b");
  node.Ask(leaving, "WRITE item1 x", milliseconds(0));
  node.GetCore().CloseSession(leaving);
  node.Run(milliseconds(20));
  const uint64_t next = node.OpenCaller();
  CheckAnswer("COMPLETE proof", node.Ask(next, "WRITE item2 x"));
  LONGS_EQUAL(2, node.GetRuns().size());
  CHECK(node.GetRuns().back().values.empty());
  LONGS_EQUAL(opened, node.CountOpenedConnections());
}

}  // namespace magnoliareel
