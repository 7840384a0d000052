#ifndef MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_ANSWER_H_
#define MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_ANSWER_H_

#include <string>
#include <system_error>
#include <vector>

#include "core/core.h"
#include "messages/endpoint/endpoint_report.h"

namespace magnoliareel {

/** One record of a group's log. */
struct LogRecord {
  /** Term of the primary that wrote it. */
  Term term;
  /** The request recorded with it; empty if none. */
  std::string request;
  /** The statements it applies, in order. */
  std::vector<std::string> statements;
  /** The answer recorded with it; empty if the request was settled as not
      run. */
  std::string answer;
};

/** The answer to an EndpointCall. */
struct EndpointAnswer {
  /** Empty if the call was carried out; kStatementFailed if it ran without
      effect; any other error if it was refused before it ran. */
  std::error_code ec;
  /** The request that this answers. */
  std::string request;

  /** The statement's answer, or the reason of a failure. */
  std::string answer;
  /** Point of the record that holds the write's effect. */
  LogPoint point;
  /** State of the endpoint after the call. */
  EndpointReport report;
  /** For kReplicate: the records after the given point. */
  std::vector<LogRecord> records;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_ANSWER_H_
