#include <map>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/platform.h"
#include "relay/relay.h"
#include "tests/round_trip/database_session.h"
#include "tests/round_trip/generators.h"

namespace magnoliareel {
namespace {

using platform::LineDialect;

/** What one of several callers prepares and executes. */
struct Execution {
  bool writes = false;
  std::string shape;
  std::string arguments;
};

std::ostream& operator<<(std::ostream& out, const Execution& it) {
  return out << (it.writes ? "WRITE [" : "READ [") << it.shape << "]["
             << it.arguments << "]";
}

/** Shapes are often prefixes of each other. */
rc::Gen<Execution> GenExecution() {
  const rc::Gen<std::string> shape = rc::gen::oneOf(
      rc::gen::element<std::string>("q12", "READ q12", "q12 READ fp", "q12 ",
                                    "READ q12 READ fp", "q12 WRITE vq"),
      GenLineText());
  return rc::gen::map(
      rc::gen::tuple(rc::gen::arbitrary<bool>(), shape,
                     rc::gen::oneOf(rc::gen::just(std::string()),
                                    rc::gen::map(GenLineText(),
                                                 [](std::string text) {
                                                   return " " + text;
                                                 }))),
      [](const std::tuple<bool, std::string, std::string>& parts) {
        return Execution{std::get<0>(parts), std::get<1>(parts),
                         std::get<2>(parts)};
      });
}

}  // namespace

TEST_GROUP(PreparedRoundTrip){};

TEST(PreparedRoundTrip, AnEndpointRunsTheShapeThatEachCallerPrepared) {
  CheckProperty("an endpoint runs the shape that each caller prepared", [] {
    const auto executions =
        *rc::gen::container<std::vector<Execution>>(GenExecution());
    DatabaseSession database;
    std::map<std::pair<bool, std::string>, PooledStatementName> names;
    std::vector<DatabaseRun> expected;
    std::string out;
    for (const Execution& it : executions) {
      CallerMessage prepare;
      const std::string prepare_line = std::string("QUERY 5c PREPARE s1 ") +
                                       (it.writes ? "WRITE " : "READ ") +
                                       it.shape;
      if (!LineDialect::DecodeCaller(prepare_line, prepare)) {
        RC_ASSERT(it.shape.empty());
        continue;
      }
      CallerMessage execute;
      const std::string execute_line = "QUERY 5d EXECUTE s1" + it.arguments;
      RC_ASSERT(LineDialect::DecodeCaller(execute_line, execute));
      const auto [name, is_new] = names.try_emplace(
          {it.writes, it.shape},
          PooledStatementName{static_cast<uint32_t>(names.size())});
      if (is_new) {
        LineDialect::AppendPrepare(out, name->second, it.writes,
                                   prepare.statement.argument);
      }
      LineDialect::AppendExecute(out, execute.request_id, {}, name->second,
                                 execute.statement.argument);
      expected.push_back(
          {"5d", "", it.shape, it.writes ? "WRITE" : "READ", it.arguments});
    }
    platform::LineFramer framer;
    RC_ASSERT(framer.Feed(out, [&database](std::string_view line) {
      RC_ASSERT(database.Receive(line));
      return true;
    }));
    RC_ASSERT(database.GetRuns() == expected);
  });
}

}  // namespace magnoliareel
