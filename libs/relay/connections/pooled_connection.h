#ifndef MAGNOLIAREEL_RELAY_CONNECTIONS_POOLED_CONNECTION_H_
#define MAGNOLIAREEL_RELAY_CONNECTIONS_POOLED_CONNECTION_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>

#include "core/core.h"
#include "relay/messages/endpoint_message.h"
#include "relay/sessions/session_values.h"

namespace magnoliareel {

/** What was sent on a connection and has to be answered. */
enum class EndpointRequestKind {
  kOpen,
  kBegin,
  kBeginRead,
  kRollback,
  kReset,
  kSetValue,
  kPrepare,
  /** A caller's statement. */
  kStatement,
};

/** One expected answer. */
struct PendingReply {
  EndpointRequestKind request = EndpointRequestKind::kOpen;
  TimePoint sent_at;
  /** The caller's statement, for kStatement. */
  uint64_t statement_id = 0;
  /** Set once an error has been read. */
  std::optional<StatementError> error;
};

/** What a pooled connection is used for at the moment. */
enum class ConnectionState {
  /** The endpoint has not accepted it yet. */
  kOpening,
  /** It is brought into the state in which it waits for work. */
  kReturning,
  kIdle,
  /** A transaction has to begin before the statement may be sent. */
  kBeginning,
  /** A statement runs. */
  kRunning,
  /** It holds a transaction between two statements. */
  kReserved,
  /** Nobody waits for the statement that runs. */
  kAbandoned,
};

/** A connection to an endpoint that sessions take turns on. */
struct PooledConnection {
  uint64_t id = 0;
  EndpointId endpoint;
  ConnectionState use = ConnectionState::kOpening;
  /** As of the last answer. */
  TransactionStatus status = TransactionStatus::kIdle;
  /** The open transaction proves that its endpoint leads. */
  bool read_write_transaction = false;
  /** Configuration version under which the open transaction began. A caller's
      statement must not run in one that is older than its route. */
  uint64_t transaction_config_version = 0;
  /** Values that the endpoint holds for this connection. */
  SessionValues values;
  /** Names of statements prepared on it. */
  std::set<std::string, std::less<>> prepared;
  /** Values were set inside the open transaction; what a rollback makes of
      them is the database's affair, so they are cleared afterwards. */
  bool values_in_transaction = false;
  std::deque<PendingReply> pending_replies;
  /** Session that it works for; 0 if none. */
  uint64_t session = 0;
  /** Rows of the answer being received, encoded for the caller. */
  std::string rows;
  /** Why the last transaction could not begin, if it could not. */
  std::optional<StatementError> begin_error;
  /** Proof or explanation of the answer being received. */
  std::string text;
  /** When the present kReturning began. */
  TimePoint returning_since;
  /** When it last worked for a session. */
  TimePoint last_used_at;

  /** @returns true if a plain transaction is open that nobody uses yet */
  bool HasUnusedTransaction() const {
    return status == TransactionStatus::kInTransaction &&
           read_write_transaction;
  }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CONNECTIONS_POOLED_CONNECTION_H_
