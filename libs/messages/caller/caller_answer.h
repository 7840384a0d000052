#ifndef MAGNOLIAREEL_MESSAGES_CALLER_CALLER_ANSWER_H_
#define MAGNOLIAREEL_MESSAGES_CALLER_CALLER_ANSWER_H_

#include <string>
#include <system_error>

#include "core/core.h"

namespace magnoliareel {

/** The answer to a CallerRequest. */
struct CallerAnswer {
  /** The request answered. */
  RequestId request;
  /** What became of it. */
  Outcome outcome = Outcome::kNotRun;
  /** Why it was not done; empty if it was. */
  std::error_code ec;
  /** Faults of the request with their places. */
  Findings findings;
  /** The database's answer. */
  std::string answer;
  /** The session token to use from now on; empty if there is none. */
  std::string token;
  /** The endpoint that ran the statement; empty if none did. */
  EndpointId endpoint;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_CALLER_CALLER_ANSWER_H_
