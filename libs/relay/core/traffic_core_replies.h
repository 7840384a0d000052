#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_REPLIES_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_REPLIES_H_

// Replies from endpoints. Included by traffic_core.h.

#include <optional>
#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleEndpointFrame(uint64_t id,
                                            std::string_view frame) {
  PooledConnection* connection = FindConnection(id);
  if (connection == nullptr) {
    return;
  }
  if (connection->IsForwarded()) {
    RecordHolderActivity(connection->holder);
    if (D::IsPong(frame)) {
      return;
    }
  }
  EndpointMessage message;
  if (connection->pending_replies.empty() ||
      !D::DecodeEndpoint(frame, message)) {
    // The connection is out of sync: later replies could not be matched to
    // their statements.
    HandleConnectionLoss(id, "unexpected message");
    return;
  }
  PendingReply& front = connection->pending_replies.front();
  switch (message.kind) {
    case EndpointMessageKind::kRow:
      if (front.request == EndpointRequestKind::kStatement) {
        D::AppendRow(connection->rows, message.text);
      }
      return;
    case EndpointMessageKind::kComplete:
      connection->text = message.text;
      return;
    case EndpointMessageKind::kError:
      front.error = message.error;
      connection->text = message.text;
      if (front.request == EndpointRequestKind::kOpen) {
        HandleOpenError(*connection, front);
      }
      return;
    case EndpointMessageKind::kReady:
      HandleReply(*connection, message);
      return;
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleOpenError(PooledConnection& connection,
                                        const PendingReply& reply) {
  EndpointPool* pool = FindPool(connection.endpoint);
  if (pool == nullptr || !reply.error) {
    return;
  }
  LogEvent(Event::kConnectionRefused,
           {{"endpoint", connection.endpoint.value},
            {"refusal", std::string(StatementErrorName(*reply.error))},
            {"connections", std::to_string(pool->connections.size())}});
  if (connection.IsForwarded()) {
    const VmId holder = connection.holder;
    CloseEndpointConnection(connection.id);
    RecordHolderFailure(holder, "session refused");
    StartQueued(*pool);
    return;
  }
  const TimePoint now = net_.Now();
  const bool full = *reply.error == StatementError::kTooManyConnections;
  const uint64_t id = connection.id;
  CloseEndpointConnection(id);
  if (!full) {
    // Another endpoint uses the address: this endpoint has moved away or has
    // not started there yet.
    HandleEndpointFailure(*pool, EndpointCondition::kUnreachable);
    return;
  }
  ++counters_.connections_refused;
  pool->RecordActivity(now);
  pool->RecordConnectionRefused(now);
  RerouteReads(*pool);
  ScheduleTimer(
      {pool->GetNextOpenTime(), TimerKind::kPoolRetry, 0, 0, pool->entry.id});
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleReply(PooledConnection& connection,
                                    const EndpointMessage& ready) {
  const PendingReply reply = connection.pending_replies.front();
  connection.pending_replies.pop_front();
  connection.status = ready.status;
  EndpointPool* pool = FindPool(connection.endpoint);
  if (pool == nullptr) {
    CloseEndpointConnection(connection.id);
    return;
  }
  // A holder may reply without the endpoint.
  const bool from_endpoint = !connection.IsForwarded() || ready.log_end;
  const bool had_failures = pool->failures > 0;
  if (from_endpoint) {
    pool->RecordActivity(net_.Now());
  }
  if (ready.log_end) {
    pool->RecordAppliedPoint(*ready.log_end, net_.Now());
  }
  if (had_failures && from_endpoint) {
    net_.Report({pool->entry.id, EndpointCondition::kAnswering});
  }
  const uint64_t id = connection.id;
  switch (reply.request) {
    case EndpointRequestKind::kOpen:
      ReturnToPool(connection);
      return;
    case EndpointRequestKind::kBegin:
      connection.begin_error = reply.error;
      connection.read_write_transaction = !reply.error.has_value();
      if (connection.read_write_transaction && ready.log_end) {
        HandlePrimaryConfirmed(*pool, reply.sent_at, *ready.log_end);
      } else if (reply.error == StatementError::kNotPrimary) {
        HandleNotPrimary(*pool);
      }
      break;
    case EndpointRequestKind::kBeginRead:
      connection.begin_error = reply.error;
      connection.read_write_transaction = false;
      RecordFreshness(*pool, reply.error);
      break;
    case EndpointRequestKind::kRollback:
      connection.read_write_transaction = false;
      if (ready.status != TransactionStatus::kIdle) {
        // What follows would run inside the transaction that is still open.
        const EndpointId endpoint = connection.endpoint;
        HandleConnectionLoss(id, "the rollback was refused");
        if (EndpointPool* it = FindPool(endpoint)) {
          StartQueued(*it);
        }
        return;
      }
      break;
    case EndpointRequestKind::kReset:
    case EndpointRequestKind::kSetValue:
      if (reply.error && !HandleValuesRefused(connection, reply)) {
        return;
      }
      break;
    case EndpointRequestKind::kPrepare:
      if (reply.error) {
        ++counters_.prepares_refused;
        LogRefusal(Event::kPrepareRefused, connection, reply);
        connection.prepared.Forget(reply.name);
        RecordRefusal(connection, *reply.error);
      }
      break;
    case EndpointRequestKind::kDeallocate:
      // No other statement gets the name, so only a transaction that failed
      // matters.
      if (reply.error &&
          ready.status == TransactionStatus::kFailedTransaction) {
        RecordRefusal(connection, StatementError::kAborted);
      }
      break;
    case EndpointRequestKind::kStatement:
      HandleStatementReply(connection, reply, ready);
      return;
  }
  if (PooledConnection* it = FindConnection(id);
      it && it->pending_replies.empty()) {
    Advance(*it);
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::LogRefusal(Event event,
                                   const PooledConnection& connection,
                                   const PendingReply& reply) {
  const CallerSession* session = FindSession(connection.session);
  const bool is_busy = session != nullptr && session->IsBusy();
  const std::string request = is_busy ? session->statement.request_id : "none";
  const std::string id = std::to_string(connection.id);
  const std::string refusal(
      StatementErrorName(reply.error.value_or(StatementError::kUnknown)));
  if (event == Event::kSessionValuesRefused) {
    LogEvent(event, {{"request", request},
                     {"endpoint", connection.endpoint.value},
                     {"connection", id},
                     {"refusal", refusal},
                     {"reason", connection.text}});
    return;
  }
  LogEvent(event,
           {{"request", request},
            {"endpoint", connection.endpoint.value},
            {"connection", id},
            {"name", DescribeName(reply.name)},
            {"shape", is_busy ? session->statement.DescribeForLog() : "none"},
            {"refusal", refusal},
            {"reason", connection.text}});
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::HandleValuesRefused(PooledConnection& connection,
                                            const PendingReply& reply) {
  ++counters_.values_refused;
  LogRefusal(Event::kSessionValuesRefused, connection, reply);
  // In a failed transaction, nothing runs.
  const bool runs_nothing =
      !connection.HasSentStatement() ||
      connection.status == TransactionStatus::kFailedTransaction;
  if (reply.request == EndpointRequestKind::kSetValue && runs_nothing) {
    connection.values.clear();
    connection.values_uncertain = true;
    RecordRefusal(connection, *reply.error);
    return true;
  }
  // A statement that was sent already runs with other values.
  if (CallerSession* session = FindSession(connection.session)) {
    session->awaits_values = true;
  }
  const EndpointId endpoint = connection.endpoint;
  HandleConnectionLoss(connection.id, "session values were refused");
  if (EndpointPool* pool = FindPool(endpoint)) {
    StartQueued(*pool);
  }
  return false;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RecordRefusal(PooledConnection& connection,
                                      StatementError error) {
  if (!connection.refusal) {
    connection.refusal = {GetErrorBehindRefusal(error), connection.text};
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::Advance(PooledConnection& connection) {
  switch (connection.state) {
    case ConnectionState::kOpening:
    case ConnectionState::kReturning:
      MarkIdle(connection);
      return;
    case ConnectionState::kAbandoned:
      ReturnToPool(connection);
      return;
    case ConnectionState::kBeginning: {
      CallerSession* session = FindSession(connection.session);
      if (session == nullptr || !session->IsBusy()) {
        ReturnToPool(connection);
        return;
      }
      if (const auto refusal =
              std::exchange(connection.refusal, std::nullopt)) {
        std::erase(session->statement.connections, connection.id);
        connection.text = refusal->reason;
        HandleStatementError(connection, *session, refusal->error);
        return;
      }
      if (connection.begin_error) {
        HandleBeginError(connection);
        return;
      }
      SendAwaiting(connection, *session);
      return;
    }
    case ConnectionState::kIdle:
    case ConnectionState::kRunning:
    case ConnectionState::kReserved:
      return;
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleBeginError(PooledConnection& connection) {
  CallerSession& session = *FindSession(connection.session);
  const EndpointId endpoint = connection.endpoint;
  const StatementError error =
      std::exchange(connection.begin_error, std::nullopt).value();
  std::erase(session.statement.connections, connection.id);
  const uint64_t session_id = session.id;
  const uint64_t statement_id = session.statement.id;
  ReturnToPool(connection);
  if (!IsInProgress(session_id, statement_id)) {
    return;
  }
  RetryElsewhere(*FindSession(session_id), endpoint, error,
                 error == StatementError::kBusy ? kBusyBackoff : Duration(0));
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleStatementReply(PooledConnection& connection,
                                             const PendingReply& reply,
                                             const EndpointMessage& ready) {
  const TimePoint now = net_.Now();
  EndpointPool* pool = FindPool(connection.endpoint);
  --pool->running;
  if (!reply.error) {
    pool->RecordReply(now - reply.sent_at, now);
  }
  if (!IsPrimary(*pool)) {
    RecordFreshness(*pool, reply.error);
  }
  const std::optional<EndpointRefusal> refusal =
      std::exchange(connection.refusal, std::nullopt);
  CallerSession* session = FindSession(connection.session);
  const bool is_current =
      session != nullptr && session->statement.id == reply.statement_id;
  RecordPlacementReply(
      *pool, reply,
      !IsPrimary(*pool) || (is_current && !session->statement.writes));
  if (!is_current || connection.state == ConnectionState::kAbandoned) {
    ReturnToPool(connection);
    return;
  }
  std::erase(session->statement.connections, connection.id);
  // An endpoint that has lost the lead still commits a transaction that wrote
  // nothing.
  const bool confirms_primary =
      session->statement.kind == StatementKind::kCommit
          ? session->transaction_wrote
          : connection.read_write_transaction || session->statement.writes;
  if (ready.status == TransactionStatus::kIdle) {
    connection.read_write_transaction = false;
  }
  if (!reply.error && confirms_primary && ready.log_end) {
    HandlePrimaryConfirmed(*pool, reply.sent_at, *ready.log_end);
  }
  if (reply.error && refusal && !MayHaveRun(*reply.error)) {
    connection.text = refusal->reason;
    HandleStatementError(connection, *session, refusal->error);
    return;
  }
  if (reply.error == StatementError::kUnknownStatement) {
    connection.prepared.Forget(reply.name);
    HandleUnknownName(connection, *session);
    return;
  }
  if (reply.error) {
    HandleStatementError(connection, *session, *reply.error);
    return;
  }
  HandleSuccess(connection, *session, reply, ready);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleSuccess(PooledConnection& connection,
                                      CallerSession& session,
                                      const PendingReply& reply,
                                      const EndpointMessage& ready) {
  ActiveStatement& statement = session.statement;
  const bool commits = statement.kind == StatementKind::kCommit;
  const bool in_transaction =
      statement.requirement == EndpointRequirement::kOpenTransaction ||
      session.transaction == TransactionPhase::kDeferred;
  session.transaction_wrote = session.transaction_wrote || statement.writes;
  bool released = true;
  if (in_transaction && !commits) {
    session.transaction_used = true;
    if (ready.status == TransactionStatus::kInTransaction) {
      session.transaction = TransactionPhase::kOpen;
      session.connection = connection.id;
      connection.session = session.id;
      connection.state = ConnectionState::kReserved;
      released = false;
      if (const Duration limit = view_->routes->transaction_idle_limit;
          limit > Duration(0)) {
        ScheduleTimer({net_.Now() + limit,
                       TimerKind::kTransactionIdle,
                       session.id,
                       statement.id,
                       {}});
      }
    } else {
      session.transaction = TransactionPhase::kLost;
      session.connection = 0;
    }
  } else {
    if (in_transaction) {
      session.transaction = TransactionPhase::kNone;
      session.connection = 0;
    }
    const bool changed =
        in_transaction ? session.transaction_wrote : statement.writes;
    if (changed && ready.log_end) {
      RecordAnsweredCommit(connection.endpoint, reply.end_before,
                           *ready.log_end);
    }
    if (changed && ready.log_end &&
        (!session.last_commit || *session.last_commit < *ready.log_end)) {
      session.last_commit = ready.log_end;
    }
    session.transaction_wrote = false;
  }
  std::string& out = net_.GetCallerBuffer(session.id);
  out.append(connection.rows);
  D::AppendComplete(out, connection.text);
  FinishAnswer(session, ready.log_end);
  Observe(session, Outcome::kDone);
  hedge_budget_.RecordSuccess();
  session.last_statement_id = statement.id;
  const TimePoint now = net_.Now();
  const bool unusual = statement.attempts > 1 || statement.hedged;
  if (unusual || served_log_limiter_.Take(now)) {
    LogEvent(
        Event::kStatementServed,
        {{"request", statement.request_id},
         {"database", session.database},
         {"need", std::string(EndpointRequirementName(statement.requirement))},
         {"endpoint", connection.endpoint.value},
         {"attempts", std::to_string(statement.attempts)},
         {"wait_us",
          std::to_string((statement.sent_at - statement.received_at).count())},
         {"run_us", std::to_string((now - statement.sent_at).count())},
         {"after", statement.required_point
                       ? FormatLogPoint(*statement.required_point)
                       : "none"},
         {"connection", std::to_string(connection.id)},
         {"name", DescribeName(reply.name)},
         {"shape", statement.DescribeForLog()}});
  }
  const uint64_t session_id = session.id;
  if (released) {
    ReturnToPool(connection);
  }
  if (CallerSession* it = FindSession(session_id)) {
    FinishStatement(*it);
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RecordAnsweredCommit(const EndpointId& endpoint,
                                             LogPoint end_before,
                                             LogPoint end) {
  const EndpointPool* pool = FindPool(endpoint);
  if (pool == nullptr) {
    return;
  }
  ServiceState& service = GetService(pool->entry.service);
  if (const auto loss = service.commit_losses.RecordAnswered(end_before, end)) {
    LogPrimaryChange(*pool, *loss);
  }
  service.last_answered_commit = {endpoint, net_.Now()};
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::Observe(const CallerSession& session, Outcome outcome) {
  if (session.is_forwarded) {
    // The VM that has the caller's session records the statement.
    return;
  }
  const ActiveStatement& statement = session.statement;
  const TimePoint now = net_.Now();
  const TimePoint sent =
      statement.sent_at == TimePoint{} ? now : statement.sent_at;
  net_.Observe({session.database,
                GetConsistencyName(session.route->consistency), outcome,
                sent - statement.received_at, now - sent,
                now - statement.received_at});
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::FinishStatement(CallerSession& session) {
  CancelPermit(session);
  RemoveFromQueues(session);
  const std::vector<uint64_t> others = std::move(session.statement.connections);
  statement_text_.Release(session.statement.charged_bytes);
  // Moving an empty string into one keeps its memory.
  EmptyBuffer(session.statement.text);
  EmptyBuffer(session.statement.arguments);
  session.statement = {};
  session.last_active = net_.Now();
  for (const uint64_t it : others) {
    Abandon(it);
  }
  RunBacklog(session.id);
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_REPLIES_H_
