#ifndef MAGNOLIAREEL_MESSAGES_CALLER_CALLER_REQUEST_H_
#define MAGNOLIAREEL_MESSAGES_CALLER_CALLER_REQUEST_H_

#include <optional>
#include <string>

#include "core/core.h"
#include "messages/caller/work_class.h"

namespace magnoliareel {

/** What a caller asks of an entry. */
enum class CallerVerb {
  /** Opens a session with a service. */
  kOpenSession,
  /** Reads; a replica may serve it. */
  kRead,
  /** Writes. */
  kWrite,
  /** Opens a transaction on the group that holds a record key. */
  kBegin,
  /** Makes the session's transaction durable. */
  kCommit,
  /** Undoes the session's transaction. */
  kRollback,
  /** Settles what became of an earlier write or commit. */
  kSettle,
};

/** A request of a caller, as understood by the entry.

    @see CallerAnswer
*/
struct CallerRequest {
  /** What is asked. */
  CallerVerb verb = CallerVerb::kRead;
  /** The caller, from the request's credentials. */
  CallerId caller;
  /** The caller's key, from the request's credentials. */
  std::string key;
  /** Names the request; for kSettle, the request to be settled. */
  RequestId request;
  /** The service; only for kOpenSession. */
  ServiceId service;
  /** The sealed session token; empty for kOpenSession. */
  std::string token;
  /** The record that the statement is about; chooses the group. */
  std::string record_key;
  /** The statement, passed on unread. */
  std::string statement;
  /** Whether running it twice equals running it once. */
  bool is_idempotent = false;
  /** Greatest age of data that a read accepts; none: only its own writes
      bound it. */
  std::optional<Duration> max_age;
  /** Time that the caller is willing to wait. */
  Duration deadline{0};
  /** Declared length. */
  WorkClass work_class = WorkClass::kShort;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_CALLER_CALLER_REQUEST_H_
