#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_ERRORS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_ERRORS_H_

// Handling of statements that failed or were refused. Included by
// traffic_core.h.

#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleStatementError(PooledConnection& connection,
                                             CallerSession& session,
                                             StatementError error) {
  ActiveStatement& statement = session.statement;
  const EndpointId endpoint = connection.endpoint;
  EndpointPool* pool = FindPool(endpoint);
  const TimePoint now = net_.Now();
  if (error == StatementError::kBusy) {
    ++counters_.refused_busy;
    pool->RecordBusy(now);
  }
  if (error == StatementError::kNotPrimary) {
    HandleNotPrimary(*pool);
  }
  if (statement.requirement == EndpointRequirement::kOpenTransaction) {
    HandleErrorInTransaction(connection, session, error);
    return;
  }
  const bool did_not_run = error == StatementError::kBehind ||
                           error == StatementError::kBusy ||
                           error == StatementError::kNotPrimary;
  // A holder has lost the endpoint, or does not use it.
  const bool was_lost =
      connection.IsForwarded() &&
      (error == StatementError::kWrongEndpoint ||
       (error == StatementError::kAborted && !statement.IsAutocommitWrite()));
  if (error == StatementError::kWrongEndpoint && was_lost) {
    pool->RecordFailure(now);
    ScheduleTimer({now + kConnectTimeout / 4, TimerKind::kPoolRetry, 0, 0,
                   pool->entry.id});
  }
  const std::string reason = connection.text;
  const uint64_t session_id = session.id;
  const uint64_t statement_id = statement.id;
  ReturnToPool(connection);
  if (!IsInProgress(session_id, statement_id)) {
    return;
  }
  if (!did_not_run && !was_lost) {
    FailStatement(*FindSession(session_id), error, reason);
    return;
  }
  Duration delay{};
  if (error == StatementError::kBusy) {
    delay = kBusyBackoff;
  }
  RetryElsewhere(*FindSession(session_id), endpoint, error, delay);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleUnknownName(PooledConnection& connection,
                                          CallerSession& session) {
  constexpr std::string_view kReason =
      "the endpoint lost the prepared statement";
  ++counters_.unknown_names;
  ActiveStatement& statement = session.statement;
  const bool may_retry = !std::exchange(statement.met_unknown_name, true);
  if (statement.requirement == EndpointRequirement::kOpenTransaction) {
    if (may_retry && connection.status == TransactionStatus::kInTransaction) {
      connection.state = ConnectionState::kReserved;
      ScheduleRetry(session, Duration(0));
      return;
    }
    connection.text = kReason;
    if (session.is_forwarded) {
      HandleErrorInTransaction(connection, session,
                               StatementError::kUnknownStatement);
    } else {
      session.connection = 0;
      ReturnToPool(connection);
      FailStatement(session, StatementError::kAborted, kReason);
    }
    return;
  }
  // What else the endpoint has lost on this connection is uncertain.
  const EndpointId endpoint = connection.endpoint;
  const uint64_t session_id = session.id;
  const uint64_t statement_id = statement.id;
  CloseAndStartQueued(connection);
  if (!IsInProgress(session_id, statement_id)) {
    return;
  }
  CallerSession& current = *FindSession(session_id);
  if (may_retry) {
    RetryElsewhere(current, endpoint, StatementError::kUnknownStatement,
                   Duration(0));
  } else if (current.statement.connections.empty()) {
    // The caller's PREPARE was acknowledged, so its name is not unknown to it.
    FailStatement(current,
                  current.is_forwarded ? StatementError::kUnknownStatement
                                       : StatementError::kAborted,
                  kReason);
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleErrorInTransaction(PooledConnection& connection,
                                                 CallerSession& session,
                                                 StatementError error) {
  const bool still_open =
      connection.status == TransactionStatus::kInTransaction;
  connection.state = ConnectionState::kReserved;
  if (still_open && error == StatementError::kBusy &&
      session.statement.attempts < kMaxStatementAttempts) {
    ScheduleRetry(session, kBusyBackoff);
    return;
  }
  const std::string reason = connection.text;
  // A COMMIT that failed ends the transaction for the caller.
  if (!still_open || session.statement.kind == StatementKind::kCommit) {
    session.connection = 0;
    const bool ended = connection.status == TransactionStatus::kIdle;
    const uint64_t session_id = session.id;
    const uint64_t statement_id = session.statement.id;
    // The session keeps the failed state for the caller, so the connection can
    // be reused.
    ReturnToPool(connection);
    if (!IsInProgress(session_id, statement_id)) {
      return;
    }
    CallerSession& current = *FindSession(session_id);
    current.transaction =
        ended && current.statement.kind == StatementKind::kCommit
            ? TransactionPhase::kNone
            : TransactionPhase::kFailed;
    FailStatement(current, error, reason);
    return;
  }
  FailStatement(session, error, reason);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RetryElsewhere(CallerSession& session,
                                       const EndpointId& failed,
                                       StatementError error,
                                       Duration delay) {
  ActiveStatement& statement = session.statement;
  const TimePoint now = net_.Now();
  statement.last_error = error;
  if (!statement.connections.empty()) {
    // The other attempt of a hedged read is still running.
    return;
  }
  if (session.is_forwarded) {
    RetryForwarded(session, error, delay);
    return;
  }
  const bool awaits_primary = error == StatementError::kNotPrimary ||
                              (error == StatementError::kWrongEndpoint &&
                               RequiresPrimary(statement.base_requirement));
  if (awaits_primary) {
    delay = kNotPrimaryBackoff;
  }
  if ((statement.attempts >= kMaxStatementAttempts && !awaits_primary) ||
      now >= statement.deadline) {
    const bool is_told =
        GuaranteesNoEffect(error) || error == StatementError::kUnknownStatement;
    FailStatement(session, is_told ? error : StatementError::kBusy,
                  "no endpoint could run it");
    return;
  }
  const bool already_failed =
      std::find(statement.avoided_endpoints.begin(),
                statement.avoided_endpoints.end(),
                failed) != statement.avoided_endpoints.end();
  // A replica that is slightly behind catches up faster than a trip to another
  // region takes; the second time it is avoided.
  const EndpointPool* pool = FindPool(failed);
  const bool has_persistent_lag = pool != nullptr && pool->HasPersistentLag();
  if (error == StatementError::kBehind && !statement.waited_for_replica &&
      !already_failed && !has_persistent_lag) {
    statement.waited_for_replica = true;
    delay = kReplicaBehindBackoff;
  } else if (error != StatementError::kBusy &&
             error != StatementError::kUnknownStatement &&
             !RequiresPrimary(statement.base_requirement)) {
    statement.avoided_endpoints.push_back(failed);
  }
  ++counters_.retried;
  LogEvent(
      Event::kStatementRetried,
      {{"request", statement.request_id},
       {"need", std::string(EndpointRequirementName(statement.requirement))},
       {"endpoint", failed.value},
       {"refusal", std::string(StatementErrorName(error))},
       {"attempts", std::to_string(statement.attempts)},
       {"pause_us", std::to_string(delay.count())},
       {"after", statement.required_point
                     ? FormatLogPoint(*statement.required_point)
                     : "none"},
       {"applied",
        pool == nullptr ? "none" : FormatLogPoint(pool->GetAppliedPoint())},
       {"shape", statement.DescribeForLog()}});
  ScheduleRetry(session, delay);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::FailStatement(CallerSession& session,
                                      StatementError error,
                                      std::string_view reason) {
  ActiveStatement& statement = session.statement;
  const TimePoint now = net_.Now();
  const bool in_transaction = session.transaction != TransactionPhase::kNone;
  if (in_transaction) {
    if (statement.kind == StatementKind::kCommit) {
      session.transaction = TransactionPhase::kNone;
    } else if (session.connection == 0) {
      session.transaction = TransactionPhase::kFailed;
    }
  }
  const EndpointPool* pool = FindPool(statement.queued_endpoint);
  const std::string queue_state =
      pool == nullptr
          ? "none"
          : pool->entry.id.value + "/" + std::to_string(pool->running) + "/" +
                std::to_string(pool->GetConcurrencyLimit()) + "/" +
                std::to_string(pool->connections.size());
  LogEvent(
      error == StatementError::kUnknown ? Event::kStatementUnknown
                                        : Event::kStatementRefused,
      {{"request", statement.request_id},
       {"refusal", std::string(StatementErrorName(error))},
       {"reason", std::string(reason)},
       {"database", session.database},
       {"need", std::string(EndpointRequirementName(statement.requirement))},
       {"held_us", std::to_string((now - statement.received_at).count())},
       {"attempts", std::to_string(statement.attempts)},
       {"queued_at", queue_state},
       {"last", std::string(StatementErrorName(statement.last_error))},
       {"shape", statement.DescribeForLog()}});
  Observe(session, GuaranteesNoEffect(error) ? Outcome::kNotRun
                   : error == StatementError::kUnknown ||
                           error == StatementError::kTimedOut
                       ? Outcome::kUnknown
                       : Outcome::kFailed);
  ReplyError(session, error, reason);
  FinishStatement(session);
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_ERRORS_H_
