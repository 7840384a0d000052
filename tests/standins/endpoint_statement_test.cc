#include "standins/endpoint/statement.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel::standin {

TEST_GROUP(EndpointStatement){};

// A text that was changed on its way would run as if it hadn't been.
TEST(EndpointStatement, RefusesWhatItsGrammarDoesNotName) {
  for (const char* it :
       {"", "get", "get ", "get  k", "get k ", "get k v", "put", "put k",
        "put  v", "append k", "fail ", "fail k", "work 5", "work 5 ",
        "work 5x get k", "work -1 get k", "work  5 get k", "GET k", "work"}) {
    CHECK_FALSE_TEXT(ParseStatement(it).has_value(), it);
  }
}

TEST(EndpointStatement, KeepsAValueAsItIs) {
  const auto put = ParseStatement("work 5 put k  a  b ");
  CHECK_TRUE(put.has_value());
  CHECK_TRUE(put->action == StatementAction::kPut);
  CHECK_TRUE(put->work == std::chrono::milliseconds(5));
  STRCMP_EQUAL("k", put->key.c_str());
  STRCMP_EQUAL(" a  b ", put->value.c_str());
  const auto append = ParseStatement("append k ");
  CHECK_TRUE(append.has_value());
  STRCMP_EQUAL("", append->value.c_str());
  const auto get = ParseStatement("get k");
  CHECK_TRUE(get.has_value());
  STRCMP_EQUAL("k", get->key.c_str());
  CHECK_TRUE(ParseStatement("fail")->action == StatementAction::kFail);
}

}  // namespace magnoliareel::standin
