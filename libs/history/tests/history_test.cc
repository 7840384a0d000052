#include <vector>

#include "history/history.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

Operation MakeWrite(const std::string& name, Outcome outcome, int64_t began) {
  return {name,          "s",       OperationKind::kWrite,
          {{"r", name}}, outcome,   {},
          began,         began + 1, 0};
}

Operation MakeRead(OperationKind kind,
                   std::vector<std::string> seen,
                   int64_t began) {
  return {"read", "s",       kind, {{"r", ""}}, Outcome::kDone, std::move(seen),
          began,  began + 1, 0};
}

}  // namespace

TEST_GROUP(History) {
  std::vector<Operation> operations;

  /** Checks that the history violates this rule and no other. */
  void CheckOnly(HistoryRule rule) {
    const auto violations = CheckHistory(operations);
    CHECK(!violations.empty());
    for (const Violation& it : violations) {
      STRCMP_EQUAL(std::string(GetHistoryRuleName(rule)).c_str(),
                   std::string(GetHistoryRuleName(it.rule)).c_str());
    }
  }
};

TEST(History, AcceptsAConsistentHistory) {
  operations = {MakeWrite("a", Outcome::kDone, 0),
                MakeWrite("b", Outcome::kUnknown, 2),
                MakeWrite("c", Outcome::kNotRun, 4),
                MakeRead(OperationKind::kRead, {"a"}, 6),
                MakeRead(OperationKind::kFinalRead, {"a", "b"}, 8)};
  LONGS_EQUAL(0, CheckHistory(operations).size());
}

TEST(History, RejectsAReadWithoutAnEarlierWriteOfItsSession) {
  operations = {MakeWrite("a", Outcome::kDone, 0),
                MakeRead(OperationKind::kRead, {}, 2),
                MakeRead(OperationKind::kFinalRead, {"a"}, 8)};
  CheckOnly(HistoryRule::kReadYourWrites);
}

TEST(History, RejectsALostWrite) {
  operations = {MakeWrite("a", Outcome::kDone, 0),
                MakeRead(OperationKind::kFinalRead, {}, 8)};
  CheckOnly(HistoryRule::kLostWrite);
}

TEST(History, RejectsADuplicatedWrite) {
  operations = {MakeWrite("a", Outcome::kDone, 0),
                MakeRead(OperationKind::kFinalRead, {"a", "a"}, 8)};
  CheckOnly(HistoryRule::kDuplicatedWrite);
}

TEST(History, RejectsAnEffectOfAFailedWrite) {
  operations = {MakeWrite("a", Outcome::kNotRun, 0),
                MakeRead(OperationKind::kFinalRead, {"a"}, 8)};
  CheckOnly(HistoryRule::kAbortedRead);
  operations[0].outcome = Outcome::kFailed;
  CheckOnly(HistoryRule::kAbortedRead);
}

TEST(History, RejectsATornTransaction) {
  operations = {{"t",
                 "s",
                 OperationKind::kTransaction,
                 {{"r", "x"}, {"q", "y"}},
                 Outcome::kUnknown,
                 {},
                 0,
                 5,
                 4},
                MakeRead(OperationKind::kFinalRead, {"x"}, 8)};
  CheckOnly(HistoryRule::kTornTransaction);
}

TEST(History, RejectsADirtyRead) {
  operations = {{"t",
                 "s",
                 OperationKind::kTransaction,
                 {{"r", "x"}},
                 Outcome::kDone,
                 {},
                 0,
                 9,
                 8},
                MakeRead(OperationKind::kRead, {"x"}, 2),
                MakeRead(OperationKind::kFinalRead, {"x"}, 10)};
  CheckOnly(HistoryRule::kDirtyRead);
}

TEST(History, RejectsAValueOfAnotherRecord) {
  operations = {MakeWrite("a", Outcome::kDone, 0),
                MakeRead(OperationKind::kFinalRead, {"a"}, 8)};
  operations.push_back({"read",
                        "z",
                        OperationKind::kRead,
                        {{"q", ""}},
                        Outcome::kDone,
                        {"a"},
                        2,
                        3,
                        0});
  CheckOnly(HistoryRule::kForeignValue);
}

}  // namespace magnoliareel
