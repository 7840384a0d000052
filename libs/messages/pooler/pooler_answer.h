#ifndef MAGNOLIAREEL_MESSAGES_POOLER_POOLER_ANSWER_H_
#define MAGNOLIAREEL_MESSAGES_POOLER_POOLER_ANSWER_H_

#include <string>
#include <system_error>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** The answer to a PoolerRequest. */
struct PoolerAnswer {
  /** Id of the answered request. */
  RequestId request;
  /** Outcome of the request. */
  Outcome outcome = Outcome::kNotRun;
  /** Error if the outcome is not kDone; empty otherwise. */
  std::error_code ec;
  /** The database's answer. */
  std::string answer;
  /** Log point of an acknowledged write. */
  LogPoint point;
  /** The transaction opened by kBegin. */
  TransactionId transaction;
  /** Primary of the group as known to the pooler; empty if none is known. */
  EndpointId primary;
  /** Term of the primary. */
  Term primary_term;
  /** Endpoints whose log contains an acknowledged write. */
  std::vector<EndpointId> holders;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_POOLER_POOLER_ANSWER_H_
