#include <set>
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
using platform::LineFramer;

std::vector<std::string> SplitLines(std::string_view bytes) {
  std::vector<std::string> lines;
  LineFramer framer;
  RC_ASSERT(framer.Feed(bytes, [&lines](std::string_view line) {
    lines.emplace_back(line);
    return true;
  }));
  return lines;
}

/** @returns the statements of callers, well formed and not */
rc::Gen<std::string> GenStatement() {
  const rc::Gen<std::string> verb = rc::gen::element<std::string>(
      "READ", "WRITE", "SET", "PREPARE", "EXECUTE", "DEALLOC", "BEGIN",
      "COMMIT", "ROLLBACK", "RESET", "STATUS", "AFTER");
  const auto join = [](const std::pair<std::string, std::string>& parts) {
    return parts.second.empty() ? parts.first
                                : parts.first + " " + parts.second;
  };
  const rc::Gen<std::string> two =
      rc::gen::map(rc::gen::pair(GenWord(), GenLineText()), join);
  const rc::Gen<std::string> prepared = rc::gen::map(
      rc::gen::tuple(GenWord(),
                     rc::gen::element<std::string>(" READ ", " WRITE "),
                     GenLineText()),
      [](const std::tuple<std::string, std::string, std::string>& parts) {
        return std::get<0>(parts) + std::get<1>(parts) + std::get<2>(parts);
      });
  return rc::gen::map(
      rc::gen::pair(verb,
                    rc::gen::oneOf(GenText(), GenLineText(), two, prepared)),
      join);
}

}  // namespace

TEST_GROUP(DialectRoundTrip){};

TEST(DialectRoundTrip, ACallersLineIsRejectedOrKeepsEachByte) {
  CheckProperty("a caller's line is rejected or keeps each byte", [] {
    const std::string id = *rc::gen::oneOf(GenWord(), GenText());
    const std::string text = *GenStatement();
    const std::string line = "QUERY " + id + " " + text;
    CallerMessage message;
    if (!LineDialect::DecodeCaller(line, message)) {
      return;
    }
    RC_ASSERT(message.kind == CallerRequestKind::kStatement);
    RC_ASSERT(IsWord(message.request_id));
    const ParsedStatement& statement = message.statement;
    RC_ASSERT("QUERY " + std::string(message.request_id) + " " +
                  std::string(statement.text) ==
              line);
    const std::string name(statement.name);
    const std::string argument(statement.argument);
    switch (statement.kind) {
      case StatementKind::kSetValue:
        RC_ASSERT(IsWord(name));
        RC_ASSERT("SET " + name + " " + argument == statement.text);
        break;
      case StatementKind::kPrepareRead:
        RC_ASSERT(IsWord(name));
        RC_ASSERT("PREPARE " + name + " READ " + argument == statement.text);
        break;
      case StatementKind::kPrepareWrite:
        RC_ASSERT(IsWord(name));
        RC_ASSERT("PREPARE " + name + " WRITE " + argument == statement.text);
        break;
      case StatementKind::kExecute:
        RC_ASSERT(IsWord(name));
        RC_ASSERT("EXECUTE " + name + argument == statement.text);
        break;
      case StatementKind::kDeallocate:
        RC_ASSERT("DEALLOC " + name == statement.text);
        break;
      default:
        RC_ASSERT(name.empty() && argument.empty());
    }
  });
}

TEST(DialectRoundTrip, AnEndpointReadsTheStatementThatItsCallerSent) {
  CheckProperty("an endpoint reads the statement that its caller sent", [] {
    const std::string line = "QUERY " + *GenWord() + " " + *GenStatement();
    const std::optional<LogPoint> after = *GenOptionalLogPoint();
    CallerMessage message;
    if (!LineDialect::DecodeCaller(line, message) ||
        (message.statement.kind != StatementKind::kRead &&
         message.statement.kind != StatementKind::kWrite &&
         message.statement.kind != StatementKind::kCommit)) {
      return;
    }
    std::string out;
    LineDialect::AppendForward(out, message.request_id, after,
                               message.statement.text);
    const std::vector<std::string> lines = SplitLines(out);
    RC_ASSERT(lines.size() == 1U);
    DatabaseSession database;
    RC_ASSERT(database.Receive(lines.front()));
    const DatabaseRun expected{std::string(message.request_id),
                               after ? FormatLogPoint(*after) : "",
                               std::string(message.statement.text), "", ""};
    RC_ASSERT(database.GetRuns() == std::vector{expected});
  });
}

TEST(DialectRoundTrip, AnEndpointHasTheValuesThatItsCallerSet) {
  CheckProperty("an endpoint has the values that its caller set", [] {
    const std::string line =
        "QUERY 5c SET " + *GenWord() + " " + *GenLineText();
    CallerMessage message;
    RC_ASSERT(LineDialect::DecodeCaller(line, message));
    std::string out;
    LineDialect::AppendSetValue(out, message.statement.name,
                                message.statement.argument);
    const std::vector<std::string> lines = SplitLines(out);
    RC_ASSERT(lines.size() == 1U);
    DatabaseSession database;
    RC_ASSERT(database.Receive(lines.front()));
    RC_ASSERT(database.GetValues() ==
              (std::map<std::string, std::string>{
                  {std::string(message.statement.name),
                   std::string(message.statement.argument)}}));
  });
}

TEST(DialectRoundTrip, ACallerReadsTheAnswerThatAnEndpointSent) {
  CheckProperty("a caller reads the answer that an endpoint sent", [] {
    const std::string text = *GenLineText();
    const std::optional<LogPoint> point = *GenOptionalLogPoint();
    const auto status = *rc::gen::element(
        TransactionStatus::kIdle, TransactionStatus::kInTransaction,
        TransactionStatus::kFailedTransaction);
    const auto error = *rc::gen::map(
        rc::gen::inRange(0, static_cast<int>(StatementError::kMalformed) + 1),
        [](int number) { return static_cast<StatementError>(number); });
    std::string out;
    LineDialect::AppendRow(out, text);
    LineDialect::AppendComplete(out, text);
    LineDialect::AppendError(out, error, text);
    LineDialect::AppendReady(out, status, point);
    const std::vector<std::string> lines = SplitLines(out);
    RC_ASSERT(lines.size() == 4U);
    RC_ASSERT(lines[0] == "ROW " + text);
    RC_ASSERT(lines[1] == "COMPLETE " + text);
    EndpointMessage message;
    RC_ASSERT(LineDialect::DecodeEndpoint(lines[0], message));
    RC_ASSERT(message.kind == EndpointMessageKind::kRow);
    RC_ASSERT(message.text == text);
    RC_ASSERT(LineDialect::DecodeEndpoint(lines[1], message));
    RC_ASSERT(message.kind == EndpointMessageKind::kComplete);
    RC_ASSERT(message.text == text);
    RC_ASSERT(LineDialect::DecodeEndpoint(lines[2], message));
    RC_ASSERT(message.kind == EndpointMessageKind::kError);
    RC_ASSERT(message.error == error);
    RC_ASSERT(message.text == text);
    RC_ASSERT(LineDialect::DecodeEndpoint(lines[3], message));
    RC_ASSERT(message.kind == EndpointMessageKind::kReady);
    RC_ASSERT(message.status == status);
    RC_ASSERT(message.log_end == point);
  });
}

}  // namespace magnoliareel
