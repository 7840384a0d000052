#ifndef MAGNOLIAREEL_MESSAGES_POOLER_POOLER_REQUEST_H_
#define MAGNOLIAREEL_MESSAGES_POOLER_POOLER_REQUEST_H_

#include <optional>
#include <string>

#include "core/core.h"
#include "messages/caller/work_class.h"

namespace magnoliareel {

/** Kind of request that an entry sends to a pooler. */
enum class PoolerVerb { kRead, kWrite, kBegin, kCommit, kRollback, kSettle };

/** A statement or transaction step for one endpoint.

    @see PoolerAnswer
*/
struct PoolerRequest {
  /** Kind of request. */
  PoolerVerb verb = PoolerVerb::kRead;
  /** Id of the request, unique for its caller. */
  RequestId request;
  /** Caller that sent the request. */
  CallerId caller;
  /** Group of the endpoint. */
  GroupId group;
  /** Endpoint that runs the request. */
  EndpointId endpoint;
  /** Open transaction of the request; empty if none. */
  TransactionId transaction;
  /** Statement, forwarded without being parsed. */
  std::string statement;
  /** True if running the statement twice has the same effect as running it
      once. */
  bool is_idempotent = false;
  /** Log point that the endpoint must have reached before a read. */
  LogPoint required;
  /** Staleness bound of a read. */
  std::optional<Duration> max_age;
  /** Time left until the caller's deadline. */
  Duration deadline{0};
  /** Run time declared by the caller: short or long. */
  WorkClass work_class = WorkClass::kShort;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_POOLER_POOLER_REQUEST_H_
