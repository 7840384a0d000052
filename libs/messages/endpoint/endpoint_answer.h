#ifndef MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_ANSWER_H_
#define MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_ANSWER_H_

#include <string>
#include <system_error>
#include <vector>

#include "core/core.h"
#include "messages/endpoint/endpoint_report.h"

namespace magnoliareel {

/** One record of a group's replicated log. */
struct LogRecord {
  /** Term of the primary that wrote it. */
  Term term;
  /** Request whose outcome the record stores; empty if none. */
  std::string request;
  /** Statements that the record applies, in order. */
  std::vector<std::string> statements;
  /** Answer stored with the request; empty if the request was resolved as not
      run. */
  std::string answer;
};

/** The answer to an EndpointCall. */
struct EndpointAnswer {
  /** Empty if the call succeeded; kStatementFailed if the statement ran and
      failed without effect; any other error if the call was rejected before
      it ran. */
  std::error_code ec;
  /** Id of the answered request. */
  std::string request;

  /** Result of the statement, or the reason why it failed. */
  std::string answer;
  /** Log point of the record that contains the effect of a write. */
  LogPoint point;
  /** State of the endpoint after the call. */
  EndpointReport report;
  /** Records after EndpointCall::after; used by kReplicate. */
  std::vector<LogRecord> records;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_ANSWER_H_
