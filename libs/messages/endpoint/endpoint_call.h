#ifndef MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_CALL_H_
#define MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_CALL_H_

#include <string>

#include "core/core.h"

namespace magnoliareel {

/** What is asked of an endpoint database. */
enum class EndpointVerb {
  /** Opens a connection under a name that the caller chose, so that one whose
      answer was lost can still be closed. */
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
  /** Reports once the position exceeds `after` or `wait` has passed. */
  kWatch,
  /** Adopts a term and refuses older ones from then on. */
  kAdopt,
  /** Becomes the primary of an adopted term. */
  kPromote,
  /** Replicates from the primary of a term. */
  kFollow,
  /** Returns records after a point; from replica to primary. */
  kReplicate,
};

/** One call to an endpoint database.

    @see EndpointAnswer
*/
struct EndpointCall {
  /** What is asked. */
  EndpointVerb verb = EndpointVerb::kWatch;
  /** Names the process that calls; an endpoint closes the connections of a
      process that has been silent for long. */
  std::string client;
  /** Term in which it is asked; refused if the endpoint has adopted a higher
      one. */
  Term term;
  /** Connection it belongs to. */
  ConnectionId connection;
  /** Names the request: caller and request id. */
  std::string request;
  /** The statement. */
  std::string statement;
  /** Whether to record the request's outcome with its effect. */
  bool is_recorded = false;
  /** For kWatch and kReplicate: the last point already known. */
  LogPoint after;
  /** For kWatch: longest time to hold the call. */
  Duration wait{0};
  /** For kFollow: address of the primary. */
  std::string primary_address;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_CALL_H_
