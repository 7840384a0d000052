#ifndef MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_CALL_H_
#define MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_CALL_H_

#include <string>

#include "core/core.h"

namespace magnoliareel {

/** Kind of call to an endpoint database. */
enum class EndpointVerb {
  /** Opens a connection under a name chosen by the client, so that the client
      can still close a connection whose answer was lost. */
  kConnect,
  /** Closes a connection and rolls back its transaction. */
  kClose,
  /** Runs a reading statement on a connection. */
  kRead,
  /** Runs a writing statement on a connection. */
  kWrite,
  /** Opens a transaction on a connection. */
  kBegin,
  /** Commits the connection's transaction. */
  kCommit,
  /** Rolls back the connection's transaction. */
  kRollback,
  /** Returns the recorded outcome of a request, or records it as not run. */
  kSettle,
  /** Answers with a report once the log has advanced past `after` or `wait` has
      elapsed. */
  kWatch,
  /** Adopts a term; from then on the endpoint rejects older terms. */
  kAdopt,
  /** Makes the endpoint the primary of a term that it has adopted. */
  kPromote,
  /** Makes the endpoint replicate from the primary of a term. */
  kFollow,
  /** Returns the records after a point; sent by a replica to its primary. */
  kReplicate,
};

/** One call to an endpoint database.

    @see EndpointAnswer
*/
struct EndpointCall {
  /** Kind of call. */
  EndpointVerb verb = EndpointVerb::kWatch;
  /** Name of the calling process. An endpoint closes the connections of a
      process that has sent nothing for a long time. */
  std::string client;
  /** Term of the call, a fencing token: the endpoint rejects the call if it has
      adopted a higher term. */
  Term term;
  /** Connection on which the call runs. */
  ConnectionId connection;
  /** Caller and id of the request. */
  std::string request;
  /** Statement to run. */
  std::string statement;
  /** True if the endpoint records the outcome of the request atomically with
      its effect. */
  bool is_recorded = false;
  /** Last point that the client knows; used by kWatch and kReplicate. */
  LogPoint after;
  /** Longest time until the endpoint answers; used by kWatch. */
  Duration wait{0};
  /** "host:port" of the primary; used by kFollow. */
  std::string primary_address;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_CALL_H_
