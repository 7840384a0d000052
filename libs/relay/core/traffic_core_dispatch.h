#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_DISPATCH_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_DISPATCH_H_

// Routing of statements to endpoints and connections. Included by
// traffic_core.h.

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::Dispatch(CallerSession& session) {
  ActiveStatement& statement = session.statement;
  // A read that waits for a primary is dispatched early if a freshness bound
  // arrives. It must not be dispatched again once the primary is known.
  RemoveFromQueues(session);
  if (statement.base_requirement == EndpointRequirement::kOpenTransaction) {
    SendInTransaction(session);
    return;
  }
  if (session.is_forwarded) {
    DispatchForwarded(session);
    return;
  }
  statement.requirement = statement.base_requirement;
  if (RequiresPrimary(statement.requirement)) {
    DispatchToPrimary(session);
    return;
  }
  DispatchRead(session);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::DispatchToPrimary(CallerSession& session) {
  ServiceState& service = GetService(session.route->service);
  if (service.commit_hold.IsInForce(net_.Now()) &&
      !std::exchange(session.statement.was_held, true)) {
    ++counters_.commits_held;
  }
  EndpointPool* pool = FindPrimaryPool(service);
  if (pool != nullptr && TakesNewStatements(*pool)) {
    EnqueueStatement(*pool, session);
    return;
  }
  session.statement.queued_endpoint = {};
  service.statements_awaiting_primary.push_back(
      {session.id, session.statement.id, session.statement.priority,
       session.statement.deadline});
  ScheduleTimer({net_.Now() + kPrimaryReviewInterval,
                 TimerKind::kPrimaryReview,
                 0,
                 0,
                 {}});
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::EnqueueStatement(EndpointPool& pool,
                                         CallerSession& session) {
  session.statement.queued_endpoint = pool.entry.id;
  pool.Enqueue({session.id, session.statement.id, session.statement.priority,
                session.statement.deadline});
  StartQueued(pool);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::ScheduleRetry(CallerSession& session, Duration delay) {
  // The second attempt of a hedged read may still wait for an endpoint.
  RemoveFromQueues(session);
  if (delay <= Duration(0)) {
    Dispatch(session);
    return;
  }
  ScheduleTimer({net_.Now() + delay,
                 TimerKind::kStatementRetry,
                 session.id,
                 session.statement.id,
                 {}});
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RemoveFromQueues(CallerSession& session) {
  if (!session.IsBusy()) {
    return;
  }
  if (EndpointPool* pool = FindPool(session.statement.queued_endpoint)) {
    pool->Remove(session.statement.id);
  }
  session.statement.queued_endpoint = {};
  if (session.route != nullptr) {
    std::erase_if(
        GetService(session.route->service).statements_awaiting_primary,
        [&](const QueuedStatement& it) {
          return it.statement_id == session.statement.id;
        });
  }
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::IsInProgress(uint64_t session_id,
                                     uint64_t statement_id) {
  const CallerSession* session = FindSession(session_id);
  return session != nullptr && session->statement.id == statement_id;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::DispatchQueueAgain(EndpointPool& pool) {
  const std::deque<QueuedStatement> queue = std::exchange(pool.queue, {});
  for (const QueuedStatement& it : queue) {
    if (IsInProgress(it.session, it.statement_id)) {
      Dispatch(*FindSession(it.session));
    }
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::StartQueued(EndpointPool& pool) {
  while (!pool.queue.empty() && pool.running < pool.GetConcurrencyLimit()) {
    const QueuedStatement next = pool.queue.front();
    if (!IsInProgress(next.session, next.statement_id)) {
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
    session.statement.queued_endpoint = {};
    StartStatement(*connection, session);
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::OpenConnections(EndpointPool& pool) {
  const TimePoint now = net_.Now();
  size_t opening = 0;
  for (const uint64_t it : pool.connections) {
    const PooledConnection* connection = FindConnection(it);
    if (connection != nullptr &&
        connection->state == ConnectionState::kOpening) {
      ++opening;
    }
  }
  const uint32_t share = GetMaxConnections(pool);
  while (opening < std::min(pool.queue.size(), kMaxOpeningConnections) &&
         pool.CanOpenConnection(share, now)) {
    const EndpointHolder* holder = ChooseHolder(pool);
    if (holder == nullptr && pool.IsForwarding() &&
        CountDirectConnections(pool) >= kMaxScarceConnections) {
      return;
    }
    OpenConnection(pool, holder);
    ++opening;
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::OpenConnection(EndpointPool& pool,
                                       const EndpointHolder* holder) {
  const TimePoint now = net_.Now();
  const uint64_t id = next_id_++;
  PooledConnection& connection = connections_[id];
  connection.id = id;
  connection.endpoint = pool.entry.id;
  connection.last_used_at = now;
  pool.connections.push_back(id);
  ScheduleTimer({now + kConnectTimeout, TimerKind::kConnectTimeout, id, 0, {}});
  if (holder != nullptr) {
    connection.holder = holder->vm;
    net_.OpenEndpoint(id, holder->address);
    return;
  }
  ++counters_.connections_opened;
  net_.OpenEndpoint(id, pool.entry.address);
}

template <ForwardingDialect D, class N>
PooledConnection* TrafficCore<D, N>::PickIdleConnection(
    EndpointPool& pool,
    const CallerSession& session) {
  PooledConnection* best = nullptr;
  for (const uint64_t it : pool.connections) {
    PooledConnection* connection = FindConnection(it);
    if (connection == nullptr || connection->state != ConnectionState::kIdle ||
        (connection->IsForwarded() && IsHolderBackedOff(connection->holder))) {
      continue;
    }
    // A connection on which the session's values are set needs no preparation.
    if (connection->values == session.values) {
      return connection;
    }
    if (best == nullptr) {
      best = connection;
    }
  }
  return best;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::StartStatement(PooledConnection& connection,
                                       CallerSession& session) {
  ActiveStatement& statement = session.statement;
  connection.session = session.id;
  connection.last_used_at = net_.Now();
  if (EndpointPool* pool = FindPool(connection.endpoint)) {
    pool->RecordUse(connection.last_used_at);
  }
  ++statement.attempts;
  const bool same_values = connection.values == session.values;
  const bool needs_primary_transaction =
      statement.requirement == EndpointRequirement::kPrimaryRead ||
      statement.requirement == EndpointRequirement::kReadWriteTransaction;
  const uint64_t config_version =
      session.is_forwarded ? statement.config_version : view_->routes->version;
  if (needs_primary_transaction && connection.HasUnusedTransaction() &&
      same_values && connection.transaction_config_version >= config_version) {
    SendStatement(connection, session);
    return;
  }
  RollBackOpenTransaction(connection);
  const bool awaits_values = SyncValues(connection, session);
  // A holder begins the transaction itself.
  const bool begins_transaction =
      !connection.IsForwarded() &&
      (needs_primary_transaction ||
       statement.requirement == EndpointRequirement::kReadTransaction);
  if (!begins_transaction && !awaits_values) {
    SendStatement(connection, session);
    return;
  }
  if (begins_transaction && needs_primary_transaction) {
    BeginReadWriteTransaction(connection);
  } else if (begins_transaction) {
    D::AppendBeginRead(net_.GetEndpointBuffer(connection.id),
                       statement.required_point);
    ExpectReply(connection, EndpointRequestKind::kBeginRead);
  }
  AwaitReplies(connection, session);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::AwaitReplies(PooledConnection& connection,
                                     CallerSession& session) {
  // After a failed BEGIN, the statement would run outside a transaction; after
  // a refused value, with other values than the caller has set.
  connection.begin_error.reset();
  connection.state = ConnectionState::kBeginning;
  session.statement.connections.push_back(connection.id);
  ScheduleTimer({net_.Now() + kSlowStatementThreshold,
                 TimerKind::kSlowStatement,
                 session.id,
                 session.statement.id,
                 {}});
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::SendAwaiting(PooledConnection& connection,
                                     CallerSession& session) {
  if (session.statement.requirement != EndpointRequirement::kOpenTransaction) {
    if (const EndpointPool* pool = FindPool(connection.endpoint);
        pool != nullptr && !TakesNewStatements(*pool)) {
      connection.begin_error = StatementError::kBusy;
      HandleBeginError(connection);
      return;
    }
    if (IsHeldBack(session, connection.endpoint)) {
      connection.begin_error = StatementError::kNotPrimary;
      HandleBeginError(connection);
      return;
    }
  } else if (IsHeldBack(session, connection.endpoint)) {
    std::erase(session.statement.connections, connection.id);
    AbortHeldBackTransaction(session, connection);
    return;
  }
  SendStatement(connection, session);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::SendStatement(PooledConnection& connection,
                                      CallerSession& session) {
  ActiveStatement& statement = session.statement;
  const TimePoint now = net_.Now();
  std::string& out = net_.GetEndpointBuffer(connection.id);
  const std::optional<LogPoint> required_point =
      statement.requirement == EndpointRequirement::kRead &&
              !connection.IsForwarded()
          ? statement.required_point
          : std::nullopt;
  PooledStatementName name;
  if (statement.kind == StatementKind::kExecute) {
    name = PrepareStatement(connection, statement);
    if (connection.IsForwarded()) {
      AppendForwardingHeader(connection, session);
    }
    D::AppendExecute(out, statement.request_id, required_point, name,
                     statement.arguments);
  } else {
    if (connection.IsForwarded()) {
      AppendForwardingHeader(connection, session);
    }
    D::AppendForward(out, statement.request_id, required_point, statement.text);
  }
  ExpectReply(connection, EndpointRequestKind::kStatement, statement.id, name);
  if (connection.IsForwarded() &&
      statement.requirement != EndpointRequirement::kOpenTransaction) {
    connection.read_write_transaction =
        statement.requirement == EndpointRequirement::kPrimaryRead ||
        statement.requirement == EndpointRequirement::kReadWriteTransaction;
  }
  statement.holder_pinged_at = {};
  connection.state = ConnectionState::kRunning;
  connection.session = session.id;
  connection.rows.clear();
  if (std::find(statement.connections.begin(), statement.connections.end(),
                connection.id) == statement.connections.end()) {
    statement.connections.push_back(connection.id);
  }
  if (EndpointPool* pool = FindPool(connection.endpoint)) {
    pool->record.RecordSent(pool->running, now);
    ++pool->running;
  }
  statement.sent_at = now;
  ScheduleTimer({now + kSlowStatementThreshold,
                 TimerKind::kSlowStatement,
                 session.id,
                 statement.id,
                 {}});
}

template <ForwardingDialect D, class N>
PooledStatementName TrafficCore<D, N>::PrepareStatement(
    PooledConnection& connection,
    const ActiveStatement& statement) {
  const PreparedNames::Usage usage =
      connection.prepared.Use(statement.prepared);
  std::string& out = net_.GetEndpointBuffer(connection.id);
  for (const PooledStatementName it : usage.evicted) {
    ++counters_.prepares_deallocated;
    D::AppendDeallocate(out, it);
    ExpectReply(connection, EndpointRequestKind::kDeallocate, 0, it);
  }
  if (usage.is_new) {
    D::AppendPrepare(out, usage.name, statement.prepared->writes,
                     statement.prepared->shape);
    ExpectReply(connection, EndpointRequestKind::kPrepare, 0, usage.name);
  }
  return usage.name;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::SendInTransaction(CallerSession& session) {
  PooledConnection* connection = FindConnection(session.connection);
  if (connection == nullptr) {
    session.connection = 0;
    FailStatement(session, StatementError::kAborted,
                  "the transaction's connection is gone");
    return;
  }
  if (IsHeldBack(session, connection->endpoint)) {
    AbortHeldBackTransaction(session, *connection);
    return;
  }
  ++session.statement.attempts;
  if (connection->values != session.values) {
    // Values are only added: a session never removes a value, and a reset would
    // affect the open transaction.
    connection->values_uncertain = true;
    if (AddValues(*connection, session)) {
      AwaitReplies(*connection, session);
      return;
    }
  }
  SendStatement(*connection, session);
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_DISPATCH_H_
