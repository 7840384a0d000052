#ifndef MAGNOLIAREEL_MESSAGES_POOLER_POOLER_ANSWER_H_
#define MAGNOLIAREEL_MESSAGES_POOLER_POOLER_ANSWER_H_

#include <string>
#include <system_error>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** The answer to a PoolerRequest. */
struct PoolerAnswer {
  /** The request answered. */
  RequestId request;
  /** What became of it. */
  Outcome outcome = Outcome::kNotRun;
  /** Why it was not done; empty if it was. */
  std::error_code ec;
  /** The database's answer. */
  std::string answer;
  /** The acknowledged point of a write. */
  LogPoint point;
  /** The transaction opened by kBegin. */
  TransactionId transaction;
  /** The group's primary as this pooler knows it; empty if it knows none. */
  EndpointId primary;
  /** The term of that primary. */
  Term primary_term;
  /** Endpoints that hold the acknowledged point of a write. */
  std::vector<EndpointId> holders;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_POOLER_POOLER_ANSWER_H_
