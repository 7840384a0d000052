#ifndef MAGNOLIAREEL_RELAY_CONNECTIONS_POOLED_CONNECTION_H_
#define MAGNOLIAREEL_RELAY_CONNECTIONS_POOLED_CONNECTION_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "core/core.h"
#include "relay/connections/prepared_names.h"
#include "relay/messages/endpoint_message.h"
#include "relay/messages/pooled_statement_name.h"
#include "relay/sessions/session_values.h"

namespace magnoliareel {

/** Kind of a request that was sent on a connection. */
enum class EndpointRequestKind {
  kOpen,
  kBegin,
  kBeginRead,
  kRollback,
  kReset,
  kSetValue,
  kPrepare,
  kDeallocate,
  /** A caller's statement. */
  kStatement,
};

/** A request whose reply has not arrived completely. */
struct PendingReply {
  EndpointRequestKind request = EndpointRequestKind::kOpen;
  TimePoint sent_at;
  /** Id of the caller's statement, for kStatement. */
  uint64_t statement_id = 0;
  /** Name that is prepared, deallocated or executed. */
  PooledStatementName name;
  /** End of the endpoint's log that was known when the request was sent. */
  LogPoint end_before;
  /** Set when the reply contains an error. */
  std::optional<StatementError> error;
};

/** The refusal of a request that the pool sent ahead of a statement. */
struct EndpointRefusal {
  /** Why the statement did not run. @see GetErrorBehindRefusal */
  StatementError error = StatementError::kMalformed;
  std::string reason;
};

/** State of a pooled connection. */
enum class ConnectionState {
  /** The endpoint has not accepted the connection yet. */
  kOpening,
  /** The previous transaction is rolled back, or the next one begun, before the
      connection becomes idle. */
  kReturning,
  kIdle,
  /** Waits until the transaction has begun, or session values are set, before
      the statement is sent. */
  kBeginning,
  /** Runs a statement. */
  kRunning,
  /** Reserved by a session, between two statements of its transaction. */
  kReserved,
  /** Runs a statement whose result is no longer needed. */
  kAbandoned,
};

/** A connection to an endpoint that sessions share one after another. */
struct PooledConnection {
  uint64_t id = 0;
  EndpointId endpoint;
  /** VM that forwards to the endpoint; empty if the connection is direct. */
  VmId holder;
  /** Team under whose name a direct connection was opened; empty if it has the
      name of this VM. It runs statements of this team only. */
  TeamId team;
  ConnectionState state = ConnectionState::kOpening;
  /** As of the latest reply. */
  TransactionStatus status = TransactionStatus::kIdle;
  /** True if the open transaction is a read-write transaction, which only a
      primary accepts. */
  bool read_write_transaction = false;
  /** Configuration version under which the open transaction began. A caller's
      statement must not run in a transaction that is older than its route. */
  uint64_t transaction_config_version = 0;
  /** Session values that are set on this connection. */
  SessionValues values;
  PreparedNames prepared;
  /** True if it is uncertain which values are set, so that they are reset
      before another session uses the connection: the endpoint refused one, or
      they were set inside the open transaction. Whether a rollback reverts them
      depends on the database. */
  bool values_uncertain = false;
  std::deque<PendingReply> pending_replies;
  /** Session that uses it; 0 if none. */
  uint64_t session = 0;
  /** Rows of the reply being received, encoded for the caller. */
  std::string rows;
  /** Error of the latest BEGIN, if it failed. */
  std::optional<StatementError> begin_error;
  /** The first refusal of what the session's statement needs, a prepared
      statement or session values, if any. */
  std::optional<EndpointRefusal> refusal;
  /** Proof of execution or error text of the reply being received. */
  std::string text;
  /** Time at which the state last became kReturning. */
  TimePoint returning_since;
  /** Time of the last use by a session or for a freshness bound. */
  TimePoint last_used_at;

  /** @returns true if statements reach the endpoint through another VM */
  bool IsForwarded() const { return !holder.IsEmpty(); }
  /** @returns true if the reply to a caller's statement is pending, behind
               which nothing is sent */
  bool HasSentStatement() const {
    return !pending_replies.empty() &&
           pending_replies.back().request == EndpointRequestKind::kStatement;
  }
  /** @returns true if a read-write transaction is open that no session uses
      yet */
  bool HasUnusedTransaction() const {
    return status == TransactionStatus::kInTransaction &&
           read_write_transaction;
  }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CONNECTIONS_POOLED_CONNECTION_H_
