#ifndef MAGNOLIAREEL_MESSAGES_CALLER_CALLER_ANSWER_H_
#define MAGNOLIAREEL_MESSAGES_CALLER_CALLER_ANSWER_H_

#include <string>
#include <system_error>

#include "core/core.h"

namespace magnoliareel {

/** The answer to a CallerRequest. */
struct CallerAnswer {
  /** Id of the answered request. */
  RequestId request;
  /** Outcome of the request. */
  Outcome outcome = Outcome::kNotRun;
  /** Error if the outcome is not kDone; empty otherwise. */
  std::error_code ec;
  /** Faults of the request, each with its JSON pointer. */
  Findings findings;
  /** The database's answer. */
  std::string answer;
  /** Session token that the caller sends with its next request; empty if there
      is none. */
  std::string token;
  /** The endpoint that ran the statement; empty if none did. */
  EndpointId endpoint;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_CALLER_CALLER_ANSWER_H_
