#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_REPLIES_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_REPLIES_H_

// What endpoints answer. Included by traffic_core.h.

#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleEndpointFrame(uint64_t id,
                                            std::string_view frame) {
  PooledConnection* connection = FindConnection(id);
  if (connection == nullptr) {
    return;
  }
  EndpointMessage message;
  if (connection->expected.empty() || !D::DecodeEndpoint(frame, message)) {
    // Out of step: no later answer could be matched to its statement.
    HandleConnectionLoss(id, "unexpected message");
    return;
  }
  PendingReply& front = connection->expected.front();
  switch (message.kind) {
    case EndpointMessageKind::kRow:
      if (front.exchange == Exchange::kStatement) {
        D::AppendRow(connection->rows, message.text);
      }
      return;
    case EndpointMessageKind::kComplete:
      connection->text = message.text;
      return;
    case EndpointMessageKind::kError:
      front.refusal = message.refusal;
      connection->text = message.text;
      if (front.exchange == Exchange::kOpen) {
        HandleOpenError(*connection, front);
      }
      return;
    case EndpointMessageKind::kReady:
      HandleAnswer(*connection, message);
      return;
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleOpenError(PooledConnection& connection,
                                        const PendingReply& answer) {
  EndpointPool* pool = FindPool(connection.endpoint);
  if (pool == nullptr || !answer.refusal) {
    return;
  }
  LogEvent(Event::kConnectionRefused,
           {{"endpoint", connection.endpoint.value},
            {"refusal", std::string(StatementErrorName(*answer.refusal))},
            {"connections", std::to_string(pool->connections.size())}});
  const TimePoint now = net_.Now();
  const bool full = *answer.refusal == StatementError::kTooManyConnections;
  const uint64_t id = connection.id;
  CloseEndpointConnection(id);
  if (!full) {
    // Another endpoint lives at the address: this one is gone, or not yet here.
    HandleEndpointFailure(*pool, EndpointCondition::kUnreachable);
    return;
  }
  pool->RecordActivity(now);
  pool->RecordConnectionRefused(now);
  RerouteReads(*pool);
  ScheduleTimer(
      {pool->GetNextOpenTime(), TimerKind::kPool, 0, 0, pool->entry.id});
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleAnswer(PooledConnection& connection,
                                     const EndpointMessage& ready) {
  const PendingReply answer = connection.expected.front();
  connection.expected.pop_front();
  connection.status = ready.status;
  EndpointPool* pool = FindPool(connection.endpoint);
  if (pool == nullptr) {
    CloseEndpointConnection(connection.id);
    return;
  }
  const bool had_trouble = pool->failures > 0;
  pool->RecordActivity(net_.Now());
  if (ready.log_end) {
    pool->RecordAppliedPoint(*ready.log_end, net_.Now());
  }
  if (had_trouble) {
    net_.Report({pool->entry.id, EndpointCondition::kAnswering});
  }
  const uint64_t id = connection.id;
  switch (answer.exchange) {
    case Exchange::kOpen:
      Settle(connection);
      return;
    case Exchange::kBegin:
      connection.begin_error = answer.refusal;
      connection.read_write_transaction = !answer.refusal.has_value();
      if (connection.read_write_transaction && ready.log_end) {
        NoteProven(*pool, answer.sent_at, *ready.log_end);
      } else if (answer.refusal == StatementError::kNotPrimary) {
        HandleNotPrimary(*pool);
      }
      break;
    case Exchange::kBeginRead:
      connection.begin_error = answer.refusal;
      connection.read_write_transaction = false;
      RecordFreshness(*pool, answer.refusal);
      break;
    case Exchange::kRollback:
      connection.read_write_transaction = false;
      break;
    case Exchange::kReset:
    case Exchange::kSetValue:
      if (answer.refusal) {
        // What the connection carries is not known any more.
        HandleConnectionLoss(id, "session values were refused");
        return;
      }
      break;
    case Exchange::kPrepare:
      if (answer.refusal) {
        connection.prepared.clear();
      }
      break;
    case Exchange::kStatement:
      HandleStatementReply(connection, answer, ready);
      return;
  }
  if (PooledConnection* it = FindConnection(id); it && it->expected.empty()) {
    Advance(*it);
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::Advance(PooledConnection& connection) {
  switch (connection.use) {
    case ConnectionState::kOpening:
    case ConnectionState::kReturning:
      MarkIdle(connection);
      return;
    case ConnectionState::kAbandoned:
      Settle(connection);
      return;
    case ConnectionState::kBeginning: {
      CallerSession* session = FindSession(connection.session);
      if (session == nullptr || !session->IsBusy()) {
        Settle(connection);
        return;
      }
      if (connection.begin_error) {
        HandleBeginError(connection);
        return;
      }
      SendStatement(connection, *session);
      return;
    }
    case ConnectionState::kIdle:
    case ConnectionState::kRunning:
    case ConnectionState::kReserved:
      return;
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleBeginError(PooledConnection& connection) {
  CallerSession& session = *FindSession(connection.session);
  const EndpointId endpoint = connection.endpoint;
  const StatementError refusal =
      std::exchange(connection.begin_error, std::nullopt).value();
  std::erase(session.work.connections, connection.id);
  const uint64_t session_id = session.id;
  const uint64_t ticket = session.work.ticket;
  Settle(connection);
  if (!IsInProgress(session_id, ticket)) {
    return;
  }
  RetryElsewhere(*FindSession(session_id), endpoint, refusal,
                 refusal == StatementError::kBusy ? kBusyBackoff : Duration(0));
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleStatementReply(PooledConnection& connection,
                                             const PendingReply& answer,
                                             const EndpointMessage& ready) {
  const TimePoint now = net_.Now();
  EndpointPool* pool = FindPool(connection.endpoint);
  --pool->running;
  if (!answer.refusal) {
    pool->NoteAnswer(now - answer.sent_at, now);
  }
  if (!IsLeader(*pool)) {
    RecordFreshness(*pool, answer.refusal);
  }
  CallerSession* session = FindSession(connection.session);
  if (session == nullptr || session->work.ticket != answer.ticket ||
      connection.use == ConnectionState::kAbandoned) {
    Settle(connection);
    return;
  }
  std::erase(session->work.connections, connection.id);
  const bool proves = connection.read_write_transaction || session->work.writes;
  if (!answer.refusal && proves && ready.log_end) {
    NoteProven(*pool, answer.sent_at, *ready.log_end);
  }
  if (answer.refusal) {
    HandleStatementError(connection, *session, *answer.refusal);
    return;
  }
  HandleSuccess(connection, *session, ready);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleSuccess(PooledConnection& connection,
                                      CallerSession& session,
                                      const EndpointMessage& ready) {
  ActiveStatement& work = session.work;
  const bool commits = work.kind == StatementKind::kCommit;
  const bool in_transaction =
      work.need == EndpointRequirement::kOpenTransaction ||
      session.transaction == TransactionPhase::kDeferred;
  session.transaction_wrote = session.transaction_wrote || work.writes;
  bool released = true;
  if (in_transaction && !commits) {
    session.transaction_used = true;
    if (ready.status == TransactionStatus::kInTransaction) {
      session.transaction = TransactionPhase::kOpen;
      session.connection = connection.id;
      connection.session = session.id;
      connection.use = ConnectionState::kReserved;
      released = false;
      if (const Duration limit = view_->routes->transaction_idle_limit;
          limit > Duration(0)) {
        ScheduleTimer({net_.Now() + limit,
                       TimerKind::kTransactionIdle,
                       session.id,
                       work.ticket,
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
        in_transaction ? session.transaction_wrote : work.writes;
    if (changed && ready.log_end &&
        (!session.last_commit || *session.last_commit < *ready.log_end)) {
      session.last_commit = ready.log_end;
    }
    session.transaction_wrote = false;
  }
  std::string& out = net_.GetCallerBuffer(session.id);
  out.append(connection.rows);
  D::AppendComplete(out, connection.text);
  D::AppendReady(out, GetCallerStatus(session), ready.log_end);
  Observe(session, Outcome::kDone);
  session.last_statement_id = work.ticket;
  const TimePoint now = net_.Now();
  const bool unusual = work.attempts > 1 || work.hedged;
  if (unusual || served_log_limiter_.Take(now)) {
    LogEvent(
        Event::kStatementServed,
        {{"request", work.request_id},
         {"database", session.database},
         {"need", std::string(EndpointRequirementName(work.need))},
         {"endpoint", connection.endpoint.value},
         {"attempts", std::to_string(work.attempts)},
         {"wait_us", std::to_string((work.sent_at - work.received_at).count())},
         {"run_us", std::to_string((now - work.sent_at).count())},
         {"after", work.after ? FormatLogPoint(*work.after) : "none"}});
  }
  const uint64_t session_id = session.id;
  if (released) {
    Settle(connection);
  }
  if (CallerSession* it = FindSession(session_id)) {
    FinishStatement(*it);
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::Observe(const CallerSession& session, Outcome outcome) {
  const ActiveStatement& work = session.work;
  const TimePoint now = net_.Now();
  const TimePoint sent = work.sent_at == TimePoint{} ? now : work.sent_at;
  net_.Observe({session.database, ConsistencyName(session.route->consistency),
                outcome, sent - work.received_at, now - sent,
                now - work.received_at});
}

template <WireDialect D, class N>
void TrafficCore<D, N>::FinishStatement(CallerSession& session) {
  RemoveFromQueues(session);
  const std::vector<uint64_t> others = std::move(session.work.connections);
  session.work = {};
  session.last_active = net_.Now();
  for (const uint64_t it : others) {
    Abandon(it);
  }
  const uint64_t id = session.id;
  RunBacklog(id);
  // A caller that never rests would keep a stopping process.
  if (CallerSession* it = FindSession(id);
      it != nullptr && close_idle_sessions_ && !it->IsBusy() &&
      it->transaction == TransactionPhase::kNone && !net_.HasUnread(id)) {
    EndSession(*it);
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_REPLIES_H_
