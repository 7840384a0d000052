#ifndef MAGNOLIAREEL_MESSAGES_CALLER_CALLER_REQUEST_H_
#define MAGNOLIAREEL_MESSAGES_CALLER_CALLER_REQUEST_H_

#include <optional>
#include <string>

#include "core/core.h"
#include "messages/caller/work_class.h"

namespace magnoliareel {

/** Kind of request that a caller sends to an entry. */
enum class CallerVerb {
  /** Opens a session with a service. */
  kOpenSession,
  /** Runs a reading statement; a replica may serve it. */
  kRead,
  /** Runs a writing statement. */
  kWrite,
  /** Opens a transaction on the group that holds a record key. */
  kBegin,
  /** Commits the session's transaction. */
  kCommit,
  /** Rolls back the session's transaction. */
  kRollback,
  /** Resolves the outcome of an earlier write or commit: returns the recorded
      outcome, or records that the request has not run and never will. */
  kSettle,
};

/** Decoded request of a caller to an entry.

    @see CallerAnswer
*/
struct CallerRequest {
  /** Kind of request. */
  CallerVerb verb = CallerVerb::kRead;
  /** Caller named by the request's credentials. */
  CallerId caller;
  /** Secret key from the request's credentials. */
  std::string key;
  /** Id of the request; for kSettle, id of the request to resolve. */
  RequestId request;
  /** Service to open a session with; only for kOpenSession. */
  ServiceId service;
  /** The sealed session token; empty for kOpenSession. */
  std::string token;
  /** Key of the record that the statement concerns; selects the group. */
  std::string record_key;
  /** Statement, forwarded without being parsed. */
  std::string statement;
  /** True if running the statement twice has the same effect as running it
      once. */
  bool is_idempotent = false;
  /** Staleness bound of a read; without a value, a read only has to observe
      the session's own writes. */
  std::optional<Duration> max_age;
  /** Longest time that the caller waits for the answer; 0 if the request
      specifies none. */
  Duration deadline{0};
  /** Run time declared by the caller: short or long. */
  WorkClass work_class = WorkClass::kShort;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_CALLER_CALLER_REQUEST_H_
