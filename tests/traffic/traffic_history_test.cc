#include "tests/traffic/traffic_history.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tests/traffic/event_queue.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

// What one connection ran at a group, and what its callers say about it.
TEST_GROUP(TrafficHistory) {
  void Run(const std::vector<std::string>& lines) {
    EventQueue queue;
    group = GroupModel(
        GroupOptions{}, [](uint64_t, const std::string&) {},
        [&queue](Duration pause, std::function<void()> task) {
          queue.After(pause, std::move(task));
        });
    group.SetNow(queue.Now());
    group.Open(0, 1);
    std::string bytes = "STARTUP groyne-logs vm\r\n";
    for (const std::string& it : lines) {
      bytes += "QUERY " + it + "\r\n";
    }
    group.Receive(1, bytes);
    queue.RunUntil(queue.Now() + std::chrono::seconds(1));
    CHECK(!group.GetExecutedStatements().empty());
  }

  // An execution by the caller, as it was acknowledged.
  static CallerStatement MakeExecution(std::string text, std::string shape) {
    CallerStatement statement;
    statement.id = "q1";
    statement.text = std::move(text);
    statement.is_execution = true;
    statement.shape = std::move(shape);
    statement.answered = true;
    statement.succeeded = true;
    statement.proof = "proof-q1";
    return statement;
  }

  std::string Check(CallerStatement statement) const {
    CallerOperation operation;
    operation.database = "lookups";
    operation.statements = {std::move(statement)};
    std::string found;
    for (const std::string& it :
         CheckTraffic({std::move(operation)}, group, Duration(0))) {
      found += found.empty() ? it : ", " + it;
    }
    return found;
  }

  GroupModel group{GroupOptions{}, {}, {}};
};

TEST(TrafficHistory, AcceptsAnExecutionUnderAnotherName) {
  Run({"- PREPARE p1 READ q12 READ fp", "q1 EXECUTE p1  it "});
  STRCMP_EQUAL(
      "", Check(MakeExecution("EXECUTE s1  it ", "READ q12 READ fp")).c_str());
}

TEST(TrafficHistory, FindsAnotherCallersShape) {
  Run({"- PREPARE p1 READ fp READ q12 READ fp", "q1 EXECUTE p1 it"});
  STRCMP_EQUAL("PINNED shape q1",
               Check(MakeExecution("EXECUTE s1 it", "READ q12")).c_str());
}

TEST(TrafficHistory, FindsAnotherKindOfTheSameShape) {
  Run({"- PREPARE p1 READ q12", "q1 EXECUTE p1 it x"});
  STRCMP_EQUAL("PINNED shape q1",
               Check(MakeExecution("EXECUTE s1 it x", "WRITE q12")).c_str());
}

TEST(TrafficHistory, FindsChangedArguments) {
  for (const char* arguments : {" it ", "  it", " it x", " READ fp it"}) {
    Run({"- PREPARE p1 READ q12", "q1 EXECUTE p1" + std::string(arguments)});
    STRCMP_EQUAL("UNASKED text q1",
                 Check(MakeExecution("EXECUTE s1 it", "READ q12")).c_str());
  }
}

TEST(TrafficHistory, FindsAnExecutionThatRanAsAnotherStatement) {
  Run({"q1 READ it"});
  STRCMP_EQUAL("UNASKED text q1, PINNED shape q1",
               Check(MakeExecution("EXECUTE s1 it", "READ q12")).c_str());
}

TEST(TrafficHistory, FindsTheRunOfADeallocatedStatement) {
  Run({"- PREPARE p1 READ q12", "q1 EXECUTE p1 it"});
  STRCMP_EQUAL("PINNED shape q1",
               Check(MakeExecution("EXECUTE s1 it", "")).c_str());
}

TEST(TrafficHistory, FindsAPreparedStatementThatWasNotKnown) {
  Run({"q1 READ it"});
  CallerStatement statement = MakeExecution("EXECUTE s1 it", "READ q12");
  statement.succeeded = false;
  statement.error = "NOSTMT";
  STRCMP_CONTAINS("PINNED unknown q1", Check(statement).c_str());
  statement.shape = "";
  CHECK(Check(statement).find("PINNED unknown") == std::string::npos);
}

TEST(TrafficHistory, FindsAnIdThatNoCallerSent) {
  Run({"- PREPARE p1 READ q12", "q1 EXECUTE p1 it", "q2 READ it"});
  STRCMP_EQUAL("UNASKED id q2",
               Check(MakeExecution("EXECUTE s1 it", "READ q12")).c_str());
}

TEST(TrafficHistory, FindsOtherSessionValues) {
  Run({"- SET v1  a  b ", "- PREPARE p1 READ q12", "q1 EXECUTE p1 it"});
  CallerStatement statement = MakeExecution("EXECUTE s1 it", "READ q12");
  statement.values = {{"v1", " a  b "}};
  STRCMP_EQUAL("", Check(statement).c_str());
  statement.values = {{"v1", "a  b"}};
  STRCMP_EQUAL("PINNED values q1", Check(statement).c_str());
}

}  // namespace magnoliareel
