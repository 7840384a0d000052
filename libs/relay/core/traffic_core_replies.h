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
    LoseConnection(id, "unexpected message");
    return;
  }
  ExpectedAnswer& front = connection->expected.front();
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
        HandleOpenAnswer(*connection, front);
      }
      return;
    case EndpointMessageKind::kReady:
      HandleAnswer(*connection, message);
      return;
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleOpenAnswer(PooledConnection& connection,
                                         const ExpectedAnswer& answer) {
  EndpointPool* pool = FindPool(connection.endpoint);
  if (pool == nullptr || !answer.refusal) {
    return;
  }
  LogEvent(Event::kConnectionRefused,
           {{"endpoint", connection.endpoint.value},
            {"refusal", std::string(RefusalName(*answer.refusal))},
            {"connections", std::to_string(pool->connections.size())}});
  const TimePoint now = net_.Now();
  const bool full = *answer.refusal == Refusal::kTooManyConnections;
  const uint64_t id = connection.id;
  DropConnection(id);
  if (!full) {
    // Another endpoint lives at the address: this one is gone, or not yet here.
    NotePoolFailure(*pool, EndpointCondition::kUnreachable);
    return;
  }
  pool->NoteHeard(now);
  pool->NoteConnectionRefused(now);
  MoveReads(*pool);
  Remind({pool->GetNextOpening(), Reminder::kPool, 0, 0, pool->entry.id});
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleAnswer(PooledConnection& connection,
                                     const EndpointMessage& ready) {
  const ExpectedAnswer answer = connection.expected.front();
  connection.expected.pop_front();
  connection.status = ready.status;
  EndpointPool* pool = FindPool(connection.endpoint);
  if (pool == nullptr) {
    DropConnection(connection.id);
    return;
  }
  const bool had_trouble = pool->failures > 0;
  pool->NoteHeard(net_.Now());
  if (ready.log_end) {
    pool->NoteApplied(*ready.log_end, net_.Now());
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
      connection.begin_refusal = answer.refusal;
      connection.plain_transaction = !answer.refusal.has_value();
      if (connection.plain_transaction && ready.log_end) {
        NoteProven(*pool, answer.sent_at, *ready.log_end);
      } else if (answer.refusal == Refusal::kNotPrimary) {
        NoteNotLeading(*pool);
      }
      break;
    case Exchange::kBeginRead:
      connection.begin_refusal = answer.refusal;
      connection.plain_transaction = false;
      NoteFreshness(*pool, answer.refusal);
      break;
    case Exchange::kRollback:
      connection.plain_transaction = false;
      break;
    case Exchange::kReset:
    case Exchange::kSetValue:
      if (answer.refusal) {
        // What the connection carries is not known any more.
        LoseConnection(id, "session values were refused");
        return;
      }
      break;
    case Exchange::kPrepare:
      if (answer.refusal) {
        connection.prepared.clear();
      }
      break;
    case Exchange::kStatement:
      HandleStatementAnswer(connection, answer, ready);
      return;
  }
  if (PooledConnection* it = FindConnection(id); it && it->expected.empty()) {
    Advance(*it);
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::Advance(PooledConnection& connection) {
  switch (connection.use) {
    case ConnectionUse::kOpening:
    case ConnectionUse::kSettling:
      BecomeIdle(connection);
      return;
    case ConnectionUse::kAbandoned:
      Settle(connection);
      return;
    case ConnectionUse::kPreparing: {
      CallerSession* session = FindSession(connection.session);
      if (session == nullptr || !session->IsBusy()) {
        Settle(connection);
        return;
      }
      if (connection.begin_refusal) {
        HandleBeginRefused(connection);
        return;
      }
      SendStatement(connection, *session);
      return;
    }
    case ConnectionUse::kIdle:
    case ConnectionUse::kRunning:
    case ConnectionUse::kHeld:
      return;
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleBeginRefused(PooledConnection& connection) {
  CallerSession& session = *FindSession(connection.session);
  const EndpointId endpoint = connection.endpoint;
  const Refusal refusal =
      std::exchange(connection.begin_refusal, std::nullopt).value();
  std::erase(session.work.connections, connection.id);
  const uint64_t session_id = session.id;
  const uint64_t ticket = session.work.ticket;
  Settle(connection);
  if (!IsStillWaiting(session_id, ticket)) {
    return;
  }
  RetryElsewhere(*FindSession(session_id), endpoint, refusal,
                 refusal == Refusal::kBusy ? kBusyRetry : Duration(0));
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleStatementAnswer(PooledConnection& connection,
                                              const ExpectedAnswer& answer,
                                              const EndpointMessage& ready) {
  const TimePoint now = net_.Now();
  EndpointPool* pool = FindPool(connection.endpoint);
  --pool->running;
  if (!answer.refusal) {
    pool->NoteAnswer(now - answer.sent_at, now);
  }
  if (!IsLeader(*pool)) {
    NoteFreshness(*pool, answer.refusal);
  }
  CallerSession* session = FindSession(connection.session);
  if (session == nullptr || session->work.ticket != answer.ticket ||
      connection.use == ConnectionUse::kAbandoned) {
    Settle(connection);
    return;
  }
  std::erase(session->work.connections, connection.id);
  const bool proves = connection.plain_transaction || session->work.writes;
  if (!answer.refusal && proves && ready.log_end) {
    NoteProven(*pool, answer.sent_at, *ready.log_end);
  }
  if (answer.refusal) {
    HandleRefusal(connection, *session, *answer.refusal);
    return;
  }
  HandleSuccess(connection, *session, ready);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleSuccess(PooledConnection& connection,
                                      CallerSession& session,
                                      const EndpointMessage& ready) {
  SessionWork& work = session.work;
  const bool commits = work.kind == StatementKind::kCommit;
  const bool in_transaction =
      work.need == Need::kWithin ||
      session.transaction == TransactionPhase::kAnnounced;
  session.transaction_wrote = session.transaction_wrote || work.writes;
  bool released = true;
  if (in_transaction && !commits) {
    session.transaction_used = true;
    if (ready.status == ConnectionStatus::kInTransaction) {
      session.transaction = TransactionPhase::kOpen;
      session.connection = connection.id;
      connection.session = session.id;
      connection.use = ConnectionUse::kHeld;
      released = false;
      if (const Duration limit = view_->routes->transaction_idle_limit;
          limit > Duration(0)) {
        Remind({net_.Now() + limit,
                Reminder::kTransactionIdle,
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
  session.last_ticket = work.ticket;
  const TimePoint now = net_.Now();
  const bool unusual = work.attempts > 1 || work.hedged;
  if (unusual || served_lines_.Take(now)) {
    LogEvent(
        Event::kStatementServed,
        {{"request", work.request_id},
         {"database", session.database},
         {"need", std::string(NeedName(work.need))},
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
    FinishWork(*it);
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::Observe(const CallerSession& session, Outcome outcome) {
  const SessionWork& work = session.work;
  const TimePoint now = net_.Now();
  const TimePoint sent = work.sent_at == TimePoint{} ? now : work.sent_at;
  net_.Observe({session.database,
                GetConsistencyName(session.route->consistency), outcome,
                sent - work.received_at, now - sent, now - work.received_at});
}

template <WireDialect D, class N>
void TrafficCore<D, N>::FinishWork(CallerSession& session) {
  LeaveQueues(session);
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
      it != nullptr && ends_at_rest_ && !it->IsBusy() &&
      it->transaction == TransactionPhase::kNone && !net_.HasUnread(id)) {
    EndSession(*it);
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_REPLIES_H_
