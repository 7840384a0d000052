#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include "forwarding/forwarding.h"
#include "platform/platform.h"
#include "tests/round_trip/generators.h"

namespace magnoliareel {
namespace {

using Dialect = ForwardingCodec<platform::LineDialect>;

rc::Gen<EndpointRequirement> GenRequirement() {
  return rc::gen::element(
      EndpointRequirement::kRead, EndpointRequirement::kPrimaryRead,
      EndpointRequirement::kWrite, EndpointRequirement::kReadWriteTransaction,
      EndpointRequirement::kReadTransaction,
      EndpointRequirement::kOpenTransaction);
}

/** The line that a buffer holds, without its CR LF. */
std::string TakeLine(const std::string& out) {
  RC_ASSERT(out.ends_with("\r\n"));
  std::string line = out.substr(0, out.size() - 2);
  RC_ASSERT(line.find("\r\n") == std::string::npos);
  return line;
}

}  // namespace

TEST_GROUP(ForwardingRoundTrip){};

TEST(ForwardingRoundTrip, AHolderReadsTheStatementAndTheLimitsOfItsOrigin) {
  // A priority or a time-out that the operators may set, and the decoder did
  // not allow for, made a holder reject each statement of the route.
  CheckProperty(
      "a holder reads the statement and the limits of its origin", [] {
        ForwardingHeader header;
        header.requirement = *GenRequirement();
        header.required_point = *GenOptionalLogPoint();
        header.priority = *rc::gen::oneOf(rc::gen::inRange(0, 10),
                                          rc::gen::nonNegative<int>());
        header.time_left = *rc::gen::oneOf(
            rc::gen::map(
                rc::gen::inRange(0, 10'000),
                [](int ms) { return Duration(std::chrono::milliseconds(ms)); }),
            GenDuration());
        header.config_version = *GenNumber();
        const std::string team =
            *rc::gen::oneOf(rc::gen::just(std::string()), GenWord());
        header.team = team;
        const std::string id = *GenWord();
        const std::string text = "WRITE " + *GenWord() + " " + *GenLineText();
        std::string out;
        Dialect::AppendForwardingHeader(out, header);
        Dialect::AppendForward(out, id, {}, text);
        const std::string line = TakeLine(out);
        ForwardedMessage message;
        RC_ASSERT(Dialect::DecodeForwarded(line, message));
        RC_ASSERT(message.kind == ForwardedMessageKind::kStatement);
        RC_ASSERT(message.header.requirement == header.requirement);
        RC_ASSERT(message.header.required_point == header.required_point);
        RC_ASSERT(message.header.priority ==
                  std::min(header.priority, kMaxForwardedPriority));
        RC_ASSERT(message.header.time_left ==
                  std::chrono::floor<std::chrono::milliseconds>(
                      std::min(header.time_left, kMaxForwardedTime)));
        RC_ASSERT(message.header.config_version == header.config_version);
        RC_ASSERT(message.header.team == team);
        RC_ASSERT(message.message.request_id == id);
        RC_ASSERT(message.message.statement.text == text);
      });
}

TEST(ForwardingRoundTrip, TheLongestStatementFitsTheLineOfAHolder) {
  // The header made a statement of the full length too long for the holder,
  // which then ended the connection.
  constexpr uint64_t kMax = std::numeric_limits<uint64_t>::max();
  ForwardingHeader header;
  header.required_point = LogPoint{Term{kMax}, LogPosition{kMax}};
  header.priority = std::numeric_limits<int>::max();
  header.time_left = Duration::max();
  header.config_version = kMax;
  const std::string team(kMaxTeamNameBytes, 't');
  header.team = team;
  const std::string prefix = "QUERY 5c EXECUTE s ";
  const std::string line =
      prefix +
      std::string(platform::LineFramer::kMaxLineBytes - prefix.size(), 'x');
  CallerMessage message;
  CHECK(platform::LineDialect::DecodeCaller(line, message));
  std::string out;
  Dialect::AppendForwardingHeader(out, header);
  Dialect::AppendExecute(out, message.request_id, {},
                         kLongestPooledStatementName,
                         message.statement.argument);
  platform::LineFramer framer(platform::LineFramer::kMaxLineBytes +
                              kMaxForwardingOverheadBytes);
  bool is_read = false;
  CHECK(framer.Feed(out, [&is_read](std::string_view received) {
    ForwardedMessage forwarded;
    is_read = Dialect::DecodeForwarded(received, forwarded);
    return true;
  }));
  CHECK(is_read);
}

TEST(ForwardingRoundTrip, AHolderReadsTheEndpointThatItsOriginNamed) {
  CheckProperty("a holder reads the endpoint that its origin named", [] {
    const std::string service = *GenWord();
    const std::string endpoint = *GenWord();
    std::string out;
    Dialect::AppendForwardingOpen(out, service, endpoint);
    const std::string line = TakeLine(out);
    ForwardedMessage message;
    RC_ASSERT(Dialect::DecodeForwarded(line, message));
    RC_ASSERT(message.kind == ForwardedMessageKind::kOpen);
    RC_ASSERT(message.service == service);
    RC_ASSERT(message.endpoint == endpoint);
  });
}

TEST(ForwardingRoundTrip, AHolderPreparesTheShapeThatItsOriginNamed) {
  CheckProperty("a holder prepares the shape that its origin named", [] {
    const std::string shape = "q " + *GenLineText();
    const std::string arguments = " " + *GenLineText();
    const PooledStatementName name{*rc::gen::arbitrary<uint32_t>()};
    const bool writes = *rc::gen::arbitrary<bool>();
    std::string out;
    Dialect::AppendPrepare(out, name, writes, shape);
    const std::string prepare_line = TakeLine(out);
    out.clear();
    Dialect::AppendForwardingHeader(out, {});
    Dialect::AppendExecute(out, "5c", {}, name, arguments);
    const std::string execute_line = TakeLine(out);
    ForwardedMessage prepare;
    RC_ASSERT(Dialect::DecodeForwarded(prepare_line, prepare));
    const ParsedStatement& prepared = prepare.message.statement;
    RC_ASSERT(prepared.kind == (writes ? StatementKind::kPrepareWrite
                                       : StatementKind::kPrepareRead));
    RC_ASSERT(prepared.argument == shape);
    ForwardedMessage execute;
    RC_ASSERT(Dialect::DecodeForwarded(execute_line, execute));
    const ParsedStatement& executed = execute.message.statement;
    RC_ASSERT(executed.kind == StatementKind::kExecute);
    RC_ASSERT(executed.name == prepared.name);
    RC_ASSERT(executed.argument == arguments);
  });
}

}  // namespace magnoliareel
