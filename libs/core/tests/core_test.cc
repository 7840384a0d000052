#include <atomic>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <type_traits>

#include "core/core.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

TEST_GROUP(Errors){};

TEST(Errors, EveryErrorHasAUniqueNameThatParses) {
  std::set<std::string_view> names;
  for (const Error it : ListErrors()) {
    const std::string_view name = GetErrorName(it);
    CHECK(name != "system_error");
    CHECK(names.insert(name).second);
    CHECK(ParseErrorName(name) == it);
  }
}

TEST(Errors, FindingsAreFormattedWithTheirPlaces) {
  Findings findings;
  findings.Add("/a", Error::kMissingField, "must be given");
  findings.Add("", Error::kMalformedMessage, "no JSON");
  STRCMP_EQUAL(
      "/a: missing_field: must be given\n/: malformed_message: no JSON\n",
      findings.FormatLines().c_str());
}

TEST_GROUP(Text){};

TEST(Text, AWordIsNotEmptyAndHasNoBlanksAndControlCharacters) {
  CHECK(IsWord("q27") && IsWord("-") && IsWord("\xc5\xbeivo"));
  for (const std::string_view it :
       {"", " ", "q 27", " q27", "q27 ", "q\t27", "q27\r", "q\n27", "\x7f"}) {
    CHECK_TEXT(!IsWord(it), std::string(it).c_str());
  }
  CHECK(!IsWord(std::string_view("q\0", 2)));
  // What is not a word cannot be written in a field by accident.
  CHECK((!std::is_convertible_v<std::string_view, Word>));
  CHECK((!std::is_convertible_v<std::string, Word>));
}

TEST(Text, JoinedFieldsAreTakenOneByOne) {
  std::string line = JoinFields({"QUERY", Word("5c"), "READ"});
  STRCMP_EQUAL("QUERY 5c READ", line.c_str());
  std::string_view rest = line;
  std::string word;
  CHECK(TakeWord(rest, word) && word == "QUERY");
  CHECK(TakeWord(rest, word) && word == "5c" && rest == "READ");
  rest = " x";
  CHECK(!TakeWord(rest, word) && rest == "x");
}

TEST_GROUP(Outcomes){};

TEST(Outcomes, NamesParseToTheirOutcomes) {
  for (const Outcome it : {Outcome::kDone, Outcome::kFailed, Outcome::kNotRun,
                           Outcome::kUnknown}) {
    CHECK(ParseOutcomeName(GetOutcomeName(it)) == it);
  }
  CHECK(!ParseOutcomeName("perhaps"));
}

TEST_GROUP(Loop){};

TEST(Loop, RunsTasksInOrderOnOneThread) {
  ControlLoop loop(100);
  std::string order;
  std::set<std::thread::id> threads;
  std::atomic<bool> is_finished = false;
  for (const char c : {'a', 'b', 'c'}) {
    loop.Post([&, c] {
      order += c;
      threads.insert(std::this_thread::get_id());
    });
  }
  loop.After(std::chrono::milliseconds(1), [&] {
    is_finished = true;
    is_finished.notify_one();
  });
  is_finished.wait(false);
  loop.Stop();
  STRCMP_EQUAL("abc", order.c_str());
  LONGS_EQUAL(1, threads.size());
}

TEST(Loop, RefusesNewTasksAboveCapacityAndRunsAcceptedOnes) {
  ControlLoop loop(2);
  std::atomic<bool> is_released = false;
  std::atomic<bool> is_running = false;
  loop.Post([&] {
    is_running = true;
    is_running.notify_one();
    is_released.wait(false);
  });
  is_running.wait(false);
  std::atomic<int> executed = 0;
  CHECK(loop.TryPost([&] { ++executed; }));
  CHECK(loop.TryPost([&] { ++executed; }));
  CHECK_FALSE(loop.TryPost([&] { ++executed; }));
  std::atomic<bool> is_finished = false;
  loop.Post([&] {
    is_finished = true;
    is_finished.notify_one();
  });
  is_released = true;
  is_released.notify_one();
  is_finished.wait(false);
  LONGS_EQUAL(2, executed.load());
}

TEST_GROUP(Manual){};

TEST(Manual, RunsDelayedTasksWhenDue) {
  ManualExecutor executor;
  std::string order;
  const TimePoint start = executor.Now();
  executor.After(std::chrono::milliseconds(20), [&] { order += 'b'; });
  executor.After(std::chrono::milliseconds(10), [&] {
    order += 'a';
    executor.After(std::chrono::milliseconds(20), [&] { order += 'c'; });
  });
  executor.Advance(std::chrono::milliseconds(25));
  STRCMP_EQUAL("ab", order.c_str());
  executor.Advance(std::chrono::milliseconds(10));
  STRCMP_EQUAL("abc", order.c_str());
  CHECK(executor.Now() - start == std::chrono::milliseconds(35));
}

}  // namespace magnoliareel
