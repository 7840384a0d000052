#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_DISPATCH_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_DISPATCH_H_

// Where statements go. Included by traffic_core.h.

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <WireDialect D, class N>
void TrafficCore<D, N>::Dispatch(CallerSession& session) {
  ActiveStatement& work = session.work;
  if (work.base_requirement == EndpointRequirement::kOpenTransaction) {
    SendInTransaction(session);
    return;
  }
  work.need = work.base_requirement;
  if (RequiresPrimary(work.need)) {
    DispatchToPrimary(session);
    return;
  }
  DispatchRead(session);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::DispatchToPrimary(CallerSession& session) {
  ServiceState& service = GetService(session.route->service);
  EndpointPool* pool = FindPrimaryPool(service);
  if (pool != nullptr && !pool->gone) {
    EnqueueAt(*pool, session);
    return;
  }
  session.work.queued_endpoint = {};
  service.waiting.push_back({session.id, session.work.ticket,
                             session.route->priority, session.work.deadline});
  ScheduleTimer(
      {net_.Now() + kPrimaryReviewInterval, TimerKind::kLeaders, 0, 0, {}});
}

template <WireDialect D, class N>
void TrafficCore<D, N>::EnqueueAt(EndpointPool& pool, CallerSession& session) {
  session.work.queued_endpoint = pool.entry.id;
  pool.Enqueue({session.id, session.work.ticket, session.route->priority,
                session.work.deadline});
  StartQueued(pool);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::RetryLater(CallerSession& session, Duration pause) {
  session.work.queued_endpoint = {};
  if (pause <= Duration(0)) {
    Dispatch(session);
    return;
  }
  ScheduleTimer({net_.Now() + pause,
                 TimerKind::kRetry,
                 session.id,
                 session.work.ticket,
                 {}});
}

template <WireDialect D, class N>
void TrafficCore<D, N>::RemoveFromQueues(CallerSession& session) {
  if (!session.IsBusy()) {
    return;
  }
  if (EndpointPool* pool = FindPool(session.work.queued_endpoint)) {
    pool->Remove(session.work.ticket);
  }
  session.work.queued_endpoint = {};
  if (session.route != nullptr) {
    std::erase_if(GetService(session.route->service).waiting,
                  [&](const QueuedStatement& it) {
                    return it.ticket == session.work.ticket;
                  });
  }
}

template <WireDialect D, class N>
bool TrafficCore<D, N>::IsInProgress(uint64_t session_id, uint64_t ticket) {
  const CallerSession* session = FindSession(session_id);
  return session != nullptr && session->work.ticket == ticket;
}

template <WireDialect D, class N>
void TrafficCore<D, N>::StartQueued(EndpointPool& pool) {
  while (!pool.queue.empty() && pool.running < pool.GetConcurrencyLimit()) {
    const QueuedStatement next = pool.queue.front();
    if (!IsInProgress(next.session, next.ticket)) {
      pool.queue.pop_front();
      continue;
    }
    CallerSession& session = *FindSession(next.session);
    PooledConnection* connection = PickIdleConnection(pool, session);
    if (connection == nullptr) {
      OpenConnections(pool);
      return;
    }
    pool.queue.pop_front();
    session.work.queued_endpoint = {};
    Start(*connection, session);
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::OpenConnections(EndpointPool& pool) {
  const TimePoint now = net_.Now();
  size_t opening = 0;
  for (const uint64_t it : pool.connections) {
    const PooledConnection* connection = FindConnection(it);
    if (connection != nullptr && connection->use == ConnectionState::kOpening) {
      ++opening;
    }
  }
  const uint32_t share = GetMaxConnections(pool);
  while (opening < std::min(pool.queue.size(), kMaxOpeningConnections) &&
         pool.CanOpenConnection(share, now)) {
    OpenConnection(pool);
    ++opening;
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::OpenConnection(EndpointPool& pool) {
  const TimePoint now = net_.Now();
  const uint64_t id = next_id_++;
  PooledConnection& connection = connections_[id];
  connection.id = id;
  connection.endpoint = pool.entry.id;
  connection.last_used_at = now;
  pool.connections.push_back(id);
  ++counters_.connections_opened;
  ScheduleTimer({now + kConnectTimeout, TimerKind::kConnect, id, 0, {}});
  net_.OpenEndpoint(id, pool.entry.address);
}

template <WireDialect D, class N>
PooledConnection* TrafficCore<D, N>::PickIdleConnection(
    EndpointPool& pool,
    const CallerSession& session) {
  PooledConnection* best = nullptr;
  for (const uint64_t it : pool.connections) {
    PooledConnection* connection = FindConnection(it);
    if (connection == nullptr || connection->use != ConnectionState::kIdle) {
      continue;
    }
    // One that carries the session's values needs no preparation.
    if (connection->values == session.values) {
      return connection;
    }
    if (best == nullptr) {
      best = connection;
    }
  }
  return best;
}

template <WireDialect D, class N>
void TrafficCore<D, N>::Start(PooledConnection& connection,
                              CallerSession& session) {
  ActiveStatement& work = session.work;
  connection.session = session.id;
  connection.last_used_at = net_.Now();
  if (EndpointPool* pool = FindPool(connection.endpoint)) {
    pool->RecordUse(connection.last_used_at);
  }
  ++work.attempts;
  const bool same_values =
      connection.values == session.values && !connection.values_in_transaction;
  const bool proves = work.need == EndpointRequirement::kPrimaryRead ||
                      work.need == EndpointRequirement::kReadWriteTransaction;
  if (proves && connection.HasUnusedTransaction() && same_values &&
      connection.transaction_config_version == view_->routes->version) {
    SendStatement(connection, session);
    return;
  }
  RollBackOpenTransaction(connection);
  SyncValues(connection, session.values);
  if (!proves && work.need != EndpointRequirement::kReadTransaction) {
    SendStatement(connection, session);
    return;
  }
  // The statement waits for the transaction: behind a refused beginning it
  // would run alone.
  connection.use = ConnectionState::kBeginning;
  work.connections.push_back(connection.id);
  if (proves) {
    BeginReadWriteTransaction(connection);
  } else {
    D::AppendBeginRead(net_.GetEndpointBuffer(connection.id), work.after);
    Expect(connection, Exchange::kBeginRead);
  }
  ScheduleTimer({net_.Now() + kSlowStatementThreshold,
                 TimerKind::kSlow,
                 session.id,
                 work.ticket,
                 {}});
}

template <WireDialect D, class N>
void TrafficCore<D, N>::SendStatement(PooledConnection& connection,
                                      CallerSession& session) {
  ActiveStatement& work = session.work;
  const TimePoint now = net_.Now();
  std::string& out = net_.GetEndpointBuffer(connection.id);
  const std::optional<LogPoint> after =
      work.need == EndpointRequirement::kRead ? work.after : std::nullopt;
  if (work.kind == StatementKind::kExecute) {
    const std::string name = MakePooledStatementName(work.prepared);
    if (connection.prepared.insert(name).second) {
      D::AppendPrepare(out, name, work.prepared.writes, work.prepared.shape);
      Expect(connection, Exchange::kPrepare);
    }
    D::AppendExecute(out, work.request_id, after, name, work.arguments);
  } else {
    D::AppendForward(out, work.request_id, after, work.text);
  }
  Expect(connection, Exchange::kStatement, work.ticket);
  connection.use = ConnectionState::kRunning;
  connection.session = session.id;
  connection.rows.clear();
  if (std::find(work.connections.begin(), work.connections.end(),
                connection.id) == work.connections.end()) {
    work.connections.push_back(connection.id);
  }
  if (EndpointPool* pool = FindPool(connection.endpoint)) {
    ++pool->running;
  }
  work.sent_at = now;
  ScheduleTimer({now + kSlowStatementThreshold,
                 TimerKind::kSlow,
                 session.id,
                 work.ticket,
                 {}});
}

template <WireDialect D, class N>
void TrafficCore<D, N>::SendInTransaction(CallerSession& session) {
  PooledConnection* connection = FindConnection(session.connection);
  if (connection == nullptr) {
    session.connection = 0;
    FailStatement(session, StatementError::kAborted,
                  "the transaction's connection is gone");
    return;
  }
  ++session.work.attempts;
  if (connection->values != session.values) {
    // Only additions: a session never unsets a value, and a reset would touch
    // the open transaction.
    AddValues(*connection, session.values);
    connection->values_in_transaction = true;
  }
  SendStatement(*connection, session);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandlePrimaryChange(ServiceState& service) {
  std::vector<QueuedStatement> moved(service.waiting.begin(),
                                     service.waiting.end());
  if (service.leader.Get() != nullptr) {
    service.waiting.clear();
  } else {
    moved.clear();
  }
  for (const EndpointId& id : service.endpoints) {
    EndpointPool* pool = FindPool(id);
    if (pool == nullptr || IsLeader(*pool)) {
      continue;
    }
    const std::deque<QueuedStatement> queue = pool->queue;
    for (const QueuedStatement& it : queue) {
      const CallerSession* session = FindSession(it.session);
      if (session != nullptr && RequiresPrimary(session->work.need)) {
        pool->Remove(it.ticket);
        moved.push_back(it);
      }
    }
  }
  for (const QueuedStatement& it : moved) {
    if (IsInProgress(it.session, it.ticket)) {
      Dispatch(*FindSession(it.session));
    }
  }
  EndpointPool* pool = FindPrimaryPool(service);
  if (pool == nullptr) {
    return;
  }
  const std::vector<uint64_t> ids = pool->connections;
  for (const uint64_t it : ids) {
    PooledConnection* connection = FindConnection(it);
    if (connection != nullptr && connection->use == ConnectionState::kIdle &&
        connection->status == TransactionStatus::kIdle) {
      Settle(*connection);
    }
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_DISPATCH_H_
