#include <chrono>
#include <string>

#include "codec/codec.h"
#include "codec/json/common_fields.h"
#include "tests/round_trip/generators.h"

namespace magnoliareel {

// Callers of the HTTP front end and the endpoints behind it exchange JSON: a
// statement is one string there, whatever it holds.
TEST_GROUP(JsonRoundTrip){};

TEST(JsonRoundTrip, AStatementKeepsEachByteFromItsCallerToTheEndpoint) {
  CheckProperty(
      "a statement keeps each byte from its caller to the endpoint", [] {
        CallerRequest sent;
        sent.verb = *rc::gen::element(CallerVerb::kRead, CallerVerb::kWrite);
        sent.request.value = (*GenText()).substr(0, 100) + "r";
        sent.token = *GenWord();
        sent.statement = *GenText() + " ";
        sent.record_key = (*GenText()).substr(0, 100);
        Findings findings;
        const CallerRequest received = ParseCallerRequest(
            CallerVerb::kRead, FormatCallerRequest(sent), findings);
        if (sent.statement.size() > kMaxStatementBytes ||
            sent.token.size() > 16 * 1024) {
          RC_ASSERT(!findings.IsEmpty());
          return;
        }
        RC_ASSERT(findings.FormatLines() == "");
        RC_ASSERT(received.verb == sent.verb);
        RC_ASSERT(received.request == sent.request);
        RC_ASSERT(received.token == sent.token);
        RC_ASSERT(received.statement == sent.statement);
        RC_ASSERT(received.record_key == sent.record_key);

        EndpointCall call;
        call.verb = EndpointVerb::kWrite;
        call.connection.value = "c1";
        call.request = received.request.value;
        call.statement = received.statement;
        call.is_recorded = *rc::gen::arbitrary<bool>();
        call.after = *GenLogPoint();
        const EndpointCall run =
            ParseEndpointCall(FormatEndpointCall(call), findings);
        RC_ASSERT(findings.FormatLines() == "");
        RC_ASSERT(run.statement == sent.statement);
        RC_ASSERT(run.request == sent.request.value);
        RC_ASSERT(run.connection == call.connection);
        RC_ASSERT(run.is_recorded == call.is_recorded);
        RC_ASSERT(run.after == call.after);
      });
}

TEST(JsonRoundTrip, AnAnswerKeepsEachByteFromTheEndpointToItsCaller) {
  CheckProperty("an answer keeps each byte from the endpoint to its caller",
                [] {
                  EndpointAnswer sent;
                  sent.request = (*GenText()).substr(0, 100);
                  sent.answer = *GenText();
                  Findings findings;
                  const EndpointAnswer received =
                      ParseEndpointAnswer(FormatEndpointAnswer(sent), findings);
                  RC_ASSERT(findings.FormatLines() == "");
                  RC_ASSERT(received.answer == sent.answer);
                  RC_ASSERT(received.request == sent.request);
                  CallerAnswer answer;
                  answer.request.value = sent.request;
                  answer.outcome = Outcome::kDone;
                  answer.answer = received.answer;
                  const CallerAnswer read =
                      ParseCallerAnswer(FormatCallerAnswer(answer), findings);
                  RC_ASSERT(findings.FormatLines() == "");
                  RC_ASSERT(read.answer == sent.answer);
                  RC_ASSERT(read.request.value == sent.request);
                });
}

}  // namespace magnoliareel
