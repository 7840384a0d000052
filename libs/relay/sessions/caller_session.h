#ifndef MAGNOLIAREEL_RELAY_SESSIONS_CALLER_SESSION_H_
#define MAGNOLIAREEL_RELAY_SESSIONS_CALLER_SESSION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "directory/directory.h"
#include "relay/messages/caller_message.h"
#include "relay/messages/statement_error.h"
#include "relay/sessions/session_values.h"

namespace magnoliareel {

/** How far a session's transaction has come. */
enum class TransactionPhase {
  kNone,
  /** The caller has begun it, no endpoint knows of it yet. */
  kDeferred,
  /** It runs on the session's connection. */
  kOpen,
  /** It was rolled back; the caller has been told. */
  kFailed,
  /** It was rolled back; the next statement is told so. */
  kLost,
};

/** What a statement needs of the endpoint that runs it. */
enum class EndpointRequirement {
  /** A read at any endpoint that is fresh enough. */
  kRead,
  /** A read that proves that its endpoint leads. */
  kPrimaryRead,
  /** A write outside a transaction. */
  kWrite,
  /** The first statement of a transaction at the primary. */
  kReadWriteTransaction,
  /** The first statement of a transaction that only reads. */
  kReadTransaction,
  /** A later statement of an open transaction. */
  kOpenTransaction,
};

/** @param need  any
    @returns      its name in logs
*/
std::string_view EndpointRequirementName(EndpointRequirement requirement);

/** The statement of a session that is in progress. */
struct ActiveStatement {
  /** Names the statement for good; 0 if there is none. */
  uint64_t id = 0;
  std::string request_id;
  /** As the caller wrote it. */
  std::string text;
  StatementKind kind = StatementKind::kRead;
  /** The prepared statement, for kExecute. */
  PreparedStatement prepared;
  /** Arguments, for kExecute. */
  std::string arguments;
  /** It changes data, at once or with its transaction. */
  bool writes = false;
  /** What the route and the transaction ask for. */
  EndpointRequirement base_requirement = EndpointRequirement::kRead;
  /** What the present attempt asks for: a read without a freshness bound needs
      the primary. */
  EndpointRequirement requirement = EndpointRequirement::kRead;
  /** When the statement, or its transaction, arrived. */
  TimePoint began_at;
  /** When the statement arrived. */
  TimePoint received_at;
  /** When the route's timeout ends it. */
  TimePoint deadline;
  /** Log point that a replica must hold; set for every attempt anew. */
  std::optional<LogPoint> after;
  /** Endpoint whose queue it waits in; empty while it waits for a primary. */
  EndpointId queued_endpoint;
  /** Connections that it was sent on and that have not answered: two while a
      slow read is repeated elsewhere. */
  std::vector<uint64_t> connections;
  /** Endpoints that refused it or failed, the last one at the end. */
  std::vector<EndpointId> failed_endpoints;
  /** First time that it was sent to an endpoint; epoch if never. */
  TimePoint sent_at;
  /** Why it was not served yet, for the final answer's log line. */
  StatementError last_error = StatementError::kBusy;
  uint32_t attempts = 0;
  /** It was sent to a second connection as the first one was slow. */
  bool hedged = false;
  /** It has waited for a freshness bound. */
  bool waited_for_bound = false;
  /** It has waited for a replica that was behind. */
  bool waited_for_replica = false;

  /** @returns true if it changes data at once */
  bool IsAutocommitWrite() const {
    return requirement == EndpointRequirement::kWrite;
  }
  /** @returns true if it only reads, outside a transaction */
  bool IsAutocommitRead() const {
    return requirement == EndpointRequirement::kRead ||
           requirement == EndpointRequirement::kPrimaryRead;
  }
};

/** One caller's connection and everything that is remembered for it. */
struct CallerSession {
  uint64_t id = 0;
  bool opened = false;
  bool closing = false;
  std::string caller;
  std::string database;
  /** In force for the present statement or transaction. */
  std::shared_ptr<const DatabaseRoute> route;
  SessionValues values;
  std::map<std::string, PreparedStatement, std::less<>> prepared;
  /** End of the log after the session's newest acknowledged commit. */
  std::optional<LogPoint> last_commit;
  TransactionPhase transaction = TransactionPhase::kNone;
  bool transaction_reads_only = false;
  /** An earlier statement of the open transaction was answered. */
  bool transaction_used = false;
  bool transaction_wrote = false;
  TimePoint transaction_began_at;
  /** Connection that holds the open transaction; 0 if none. */
  uint64_t connection = 0;
  ActiveStatement statement;
  /** The statement that was answered last. */
  uint64_t last_statement_id = 0;
  /** Messages that arrived while a statement was in progress. */
  std::deque<std::string> backlog;
  TimePoint last_active;

  /** @returns true while a statement is in progress */
  bool IsBusy() const { return statement.id != 0; }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_SESSIONS_CALLER_SESSION_H_
