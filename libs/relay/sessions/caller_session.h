#ifndef MAGNOLIAREEL_RELAY_SESSIONS_CALLER_SESSION_H_
#define MAGNOLIAREEL_RELAY_SESSIONS_CALLER_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "directory/directory.h"
#include "relay/messages/caller_message.h"
#include "relay/messages/endpoint_requirement.h"
#include "relay/messages/statement_error.h"
#include "relay/sessions/session_values.h"

namespace magnoliareel {

/** State of a session's transaction. */
enum class TransactionPhase {
  kNone,
  /** The caller has begun it; BEGIN is sent before the first statement. */
  kDeferred,
  /** It is open on the session's connection. */
  kOpen,
  /** It was rolled back and the caller has received the error. */
  kFailed,
  /** It was rolled back; the next statement receives the error. */
  kLost,
};

/** The statement of a session that is in progress, and the state of its
    attempts. */
struct ActiveStatement {
  /** Unique in this process; 0 if no statement is in progress. */
  uint64_t id = 0;
  std::string request_id;
  /** What its texts count in the memory of all statements. */
  size_t charged_bytes = 0;
  /** The statement as the caller wrote it. */
  std::string text;
  StatementKind kind = StatementKind::kRead;
  /** The prepared statement, for kExecute; null for other kinds. */
  std::shared_ptr<const PreparedStatement> prepared;
  /** Arguments, for kExecute. @see ParsedStatement::argument */
  std::string arguments;
  /** True if it changes data, immediately or when its transaction commits. */
  bool writes = false;
  /** Requirement that follows from the route and the transaction. */
  EndpointRequirement base_requirement = EndpointRequirement::kRead;
  /** Requirement of the current attempt: a read without a freshness bound
      requires the primary. */
  EndpointRequirement requirement = EndpointRequirement::kRead;
  /** Time at which the statement, or its transaction, arrived. */
  TimePoint began_at;
  /** Time at which the statement arrived. */
  TimePoint received_at;
  /** Time at which the route's statement timeout expires. */
  TimePoint deadline;
  /** Scheduling priority of its route. */
  int priority = 0;
  /** Configuration version that was in force when it was accepted. */
  uint64_t config_version = 0;
  /** Log point that a replica must have applied; computed for each attempt. */
  std::optional<LogPoint> required_point;
  /** Endpoint in whose queue it waits; empty while it waits for a primary. */
  EndpointId queued_endpoint;
  /** Connections on which it was sent and no reply has arrived: two while a
      read is hedged. */
  std::vector<uint64_t> connections;
  /** Endpoints that refused it, failed or were slow; later attempts avoid
      them. */
  std::vector<EndpointId> avoided_endpoints;
  /** Time at which it was last sent to an endpoint; epoch if never. */
  TimePoint sent_at;
  /** Error of the latest attempt, for the log line of the final reply. */
  StatementError last_error = StatementError::kBusy;
  uint32_t attempts = 0;
  /** True if it was sent to a second endpoint because the first one was
      slow. */
  bool hedged = false;
  /** True while it waits for a permit of its team and must not be sent. */
  bool awaits_permit = false;
  /** End of its permit's lifetime, if it has not been sent by then. */
  TimePoint permit_expires_at = TimePoint::max();
  /** True if it has waited for a freshness bound. */
  bool waited_for_bound = false;
  /** True if it was counted as one that waits for a primary's successor. */
  bool was_held = false;
  /** True if it was retried because an endpoint did not know a name that it had
      prepared. */
  bool met_unknown_name = false;
  /** True if it was retried at a replica that was behind. */
  bool waited_for_replica = false;
  /** Time at which the holder that runs it was asked for a sign of life; epoch
      if it was not. */
  TimePoint holder_pinged_at;

  /** @returns the shape that it executes, for logs; "none" if it executes no
               prepared statement
      @see DescribeShape */
  std::string DescribeForLog() const {
    return prepared == nullptr ? "none" : DescribeShape(*prepared);
  }
  /** @returns true if it neither waits in an endpoint's queue nor was sent to
               one without a reply yet */
  bool IsUnassigned() const {
    return queued_endpoint.IsEmpty() && connections.empty();
  }
  /** @returns true if it is a write outside a transaction */
  bool IsAutocommitWrite() const {
    return requirement == EndpointRequirement::kWrite;
  }
  /** @returns true if it is a read outside a transaction */
  bool IsAutocommitRead() const {
    return requirement == EndpointRequirement::kRead ||
           requirement == EndpointRequirement::kPrimaryRead;
  }
};

/** A caller's connection and the state of its session, or a session in which
    another VM forwards statements to one endpoint. */
struct CallerSession {
  uint64_t id = 0;
  bool opened = false;
  bool closing = false;
  /** Name that the caller gave, for logs; empty while it is not known whether
      it is a key, or if it is one. */
  std::string caller;
  std::string database;
  /** Digest of that name, which is a key where the configuration has teams. */
  KeyDigest key;
  /** The caller's team; empty without teams, and for callers without a key. */
  TeamId team;
  /** True if another VM forwards statements in it. */
  bool is_forwarded = false;
  /** Endpoint to which that VM forwards them; empty before it was named. */
  EndpointId forwarded_to;
  /** Route of the current statement or transaction. A forwarded session has one
      that names only the service. */
  std::shared_ptr<const DatabaseRoute> route;
  SessionValues values;
  /** True if a holder refused one of them ahead of a statement that was sent
      already. From then on, statements wait until all are set. */
  bool awaits_values = false;
  /** By the caller's names. */
  std::map<std::string, std::shared_ptr<const PreparedStatement>, std::less<>>
      prepared;
  /** Length of the texts in `values` and `prepared`. */
  size_t held_bytes = 0;
  /** The part of it in `values`. */
  size_t value_bytes = 0;
  /** End of the log after the session's newest acknowledged commit. */
  std::optional<LogPoint> last_commit;
  TransactionPhase transaction = TransactionPhase::kNone;
  bool transaction_reads_only = false;
  /** True if a statement of the open transaction has succeeded. */
  bool transaction_used = false;
  bool transaction_wrote = false;
  /** True if the deferred transaction has taken a permit of its team. */
  bool transaction_charged = false;
  TimePoint transaction_began_at;
  /** True if the latest statement prepares others, like SET and PREPARE. */
  bool prepares_statements = false;
  /** Connection that holds the open transaction; 0 if none. */
  uint64_t connection = 0;
  ActiveStatement statement;
  /** Id of the latest statement that succeeded. */
  uint64_t last_statement_id = 0;
  /** Messages that arrived while a statement was in progress. */
  std::deque<std::string> backlog;
  /** Length of these messages. */
  size_t backlog_bytes = 0;
  /** True while they are being handled. */
  bool runs_backlog = false;
  /** True while it is not read, because they are too long. */
  bool is_paused = false;
  TimePoint last_active;

  /** @returns true while a statement is in progress */
  bool IsBusy() const { return statement.id != 0; }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_SESSIONS_CALLER_SESSION_H_
