#ifndef MAGNOLIAREEL_MESSAGES_POOLER_POOLER_REQUEST_H_
#define MAGNOLIAREEL_MESSAGES_POOLER_POOLER_REQUEST_H_

#include <optional>
#include <string>

#include "core/core.h"
#include "messages/caller/work_class.h"

namespace magnoliareel {

/** What an entry asks of a pooler. */
enum class PoolerVerb { kRead, kWrite, kBegin, kCommit, kRollback, kSettle };

/** A statement or transaction step for one endpoint.

    @see PoolerAnswer
*/
struct PoolerRequest {
  /** What is asked. */
  PoolerVerb verb = PoolerVerb::kRead;
  /** Names the request within its caller. */
  RequestId request;
  /** Who asks. */
  CallerId caller;
  /** The group of the endpoint. */
  GroupId group;
  /** The endpoint that shall run it. */
  EndpointId endpoint;
  /** The open transaction it belongs to; empty if none. */
  TransactionId transaction;
  /** The statement, passed on unread. */
  std::string statement;
  /** Whether running it twice equals running it once. */
  bool is_idempotent = false;
  /** The point that the endpoint must have reached; for reads. */
  LogPoint required;
  /** Greatest age of data accepted; for reads. */
  std::optional<Duration> max_age;
  /** Time left to answer. */
  Duration deadline{0};
  /** Declared length. */
  WorkClass work_class = WorkClass::kShort;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_POOLER_POOLER_REQUEST_H_
