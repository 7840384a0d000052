#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_CONNECTIONS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_CONNECTIONS_H_

// State of pooled connections between statements. Included by traffic_core.h.

#include <algorithm>
#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
PooledConnection* TrafficCore<D, N>::FindConnection(uint64_t id) {
  const auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : &it->second;
}

template <ForwardingDialect D, class N>
EndpointPool* TrafficCore<D, N>::FindPool(const EndpointId& id) {
  const auto it = pools_.find(id);
  return it == pools_.end() ? nullptr : &it->second;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::ExpectReply(PooledConnection& connection,
                                    EndpointRequestKind request,
                                    uint64_t statement_id,
                                    PooledStatementName name) {
  const EndpointPool* pool = FindPool(connection.endpoint);
  connection.pending_replies.push_back(
      {request, net_.Now(), statement_id, name,
       pool == nullptr ? LogPoint{} : pool->GetAppliedPoint(), std::nullopt});
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RollBackOpenTransaction(PooledConnection& connection) {
  if (connection.status == TransactionStatus::kIdle) {
    return;
  }
  D::AppendRollback(net_.GetEndpointBuffer(connection.id));
  ExpectReply(connection, EndpointRequestKind::kRollback);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::BeginReadWriteTransaction(
    PooledConnection& connection) {
  connection.transaction_config_version = view_->routes->version;
  D::AppendBegin(net_.GetEndpointBuffer(connection.id));
  ExpectReply(connection, EndpointRequestKind::kBegin);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::ResetValues(PooledConnection& connection) {
  D::AppendReset(net_.GetEndpointBuffer(connection.id));
  ExpectReply(connection, EndpointRequestKind::kReset);
  connection.values.clear();
  connection.prepared.Clear();
  connection.values_uncertain = false;
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::SyncValues(PooledConnection& connection,
                                   const CallerSession& session) {
  const bool has_extra = HasExtraValues(connection.values, session.values);
  if (has_extra) {
    ResetValues(connection);
  }
  const bool awaits_added = AddValues(connection, session);
  return awaits_added || (has_extra && !connection.IsForwarded());
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::AddValues(PooledConnection& connection,
                                  const CallerSession& session) {
  std::string& out = net_.GetEndpointBuffer(connection.id);
  bool must_wait = false;
  for (const auto& [name, value] : session.values) {
    if (const auto it = connection.values.find(name);
        it != connection.values.end() && it->second == value) {
      continue;
    }
    D::AppendSetValue(out, name, value);
    ExpectReply(connection, EndpointRequestKind::kSetValue);
    connection.values.insert_or_assign(name, value);
    // A holder accepts what this VM has accepted; it waits for the endpoint.
    must_wait = session.awaits_values || !connection.IsForwarded();
  }
  return must_wait;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::ReturnToPool(PooledConnection& connection) {
  EndpointPool* pool = FindPool(connection.endpoint);
  const bool has_served = connection.state != ConnectionState::kOpening &&
                          connection.state != ConnectionState::kIdle;
  connection.state = ConnectionState::kReturning;
  connection.session = 0;
  connection.refusal.reset();
  EmptyBuffer(connection.rows);
  // Other VMs wait for a connection: closing this one immediately saves them
  // the round trip of returning it to the pool.
  const bool yields_to_other_vms =
      has_served && pool != nullptr && AreConnectionsScarce(*pool) &&
      !connection.IsForwarded() && !pool->IsHeldHere() &&
      pool->IsAtConnectionLimit(net_.Now()) && pool->queue.empty() &&
      connection.pending_replies.empty();
  const bool holder_left = connection.IsForwarded() && pool != nullptr &&
                           !pool->IsListedHolder(connection.holder);
  if (pool == nullptr || pool->removed || yields_to_other_vms || holder_left ||
      connection.prepared.IsExhausted()) {
    CloseEndpointConnection(connection.id);
    return;
  }
  RollBackOpenTransaction(connection);
  if (connection.values_uncertain) {
    ResetValues(connection);
  }
  if (IsPrimary(*pool) && !connection.IsForwarded()) {
    BeginReadWriteTransaction(connection);
  }
  if (connection.pending_replies.empty()) {
    MarkIdle(connection);
    return;
  }
  ScheduleReturnTimeout(connection);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::ScheduleReturnTimeout(PooledConnection& connection) {
  connection.returning_since = net_.Now();
  ScheduleTimer({connection.returning_since + kAbandonedTimeout,
                 TimerKind::kReturnTimeout,
                 connection.id,
                 0,
                 {}});
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::MarkIdle(PooledConnection& connection) {
  connection.state = ConnectionState::kIdle;
  const bool is_direct = !connection.IsForwarded();
  EndpointPool* pool = FindPool(connection.endpoint);
  if (pool == nullptr || pool->removed) {
    CloseEndpointConnection(connection.id);
    return;
  }
  // Queued statements are started before the pool shrinks to its share: the
  // connection was opened for them.
  StartQueued(*pool);
  if (pool->connections.size() > GetConnectionShare(*pool)) {
    ShrinkPool(*pool);
  }
  if (is_direct && !std::exchange(pool->idle_check_scheduled, true)) {
    ScheduleTimer({net_.Now() + GetIdleTimeout(*pool), TimerKind::kIdleCheck, 0,
                   0, pool->entry.id});
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::Abandon(uint64_t connection_id) {
  PooledConnection* connection = FindConnection(connection_id);
  if (connection == nullptr) {
    return;
  }
  connection->session = 0;
  connection->state = ConnectionState::kAbandoned;
  ScheduleTimer({net_.Now() + kAbandonedTimeout,
                 TimerKind::kAbandonedTimeout,
                 connection_id,
                 connection->pending_replies.empty()
                     ? 0
                     : connection->pending_replies.back().statement_id,
                 {}});
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::CloseEndpointConnection(uint64_t connection_id) {
  const auto it = connections_.find(connection_id);
  if (it == connections_.end()) {
    return;
  }
  if (EndpointPool* pool = FindPool(it->second.endpoint)) {
    std::erase(pool->connections, connection_id);
    pool->running -= static_cast<uint32_t>(std::count_if(
        it->second.pending_replies.begin(), it->second.pending_replies.end(),
        [](const PendingReply& reply) {
          return reply.request == EndpointRequestKind::kStatement;
        }));
  }
  connections_.erase(it);
  net_.CloseEndpoint(connection_id);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RetirePool(EndpointPool& pool) {
  pool.removed = true;
  const std::vector<uint64_t> ids = pool.connections;
  for (const uint64_t it : ids) {
    const PooledConnection* connection = FindConnection(it);
    const bool unused = connection != nullptr &&
                        (connection->state == ConnectionState::kIdle ||
                         connection->state == ConnectionState::kReturning ||
                         connection->state == ConnectionState::kOpening);
    if (unused) {
      CloseEndpointConnection(it);
    }
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleEndpointFailure(EndpointPool& pool,
                                              EndpointCondition condition) {
  const TimePoint now = net_.Now();
  pool.RecordFailure(now);
  RecordPlacementFailure(pool.entry.id);
  LogEvent(Event::kEndpointFailureObserved,
           {{"endpoint", pool.entry.id.value},
            {"service", pool.entry.service.value},
            {"condition", std::string(GetConditionName(condition))},
            {"failures", std::to_string(pool.failures)}});
  net_.Report({pool.entry.id, condition});
  RerouteReads(pool);
  ScheduleTimer(
      {now + kConnectTimeout / 4, TimerKind::kPoolRetry, 0, 0, pool.entry.id});
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RerouteReads(EndpointPool& pool) {
  // Queued reads are sent to other endpoints; statements that require this
  // primary stay.
  const std::deque<QueuedStatement> queue = pool.queue;
  for (const QueuedStatement& it : queue) {
    CallerSession* session = FindSession(it.session);
    if (session == nullptr || session->statement.id != it.statement_id) {
      pool.Remove(it.statement_id);
    } else if (!RequiresPrimary(session->statement.requirement)) {
      pool.Remove(it.statement_id);
      RetryElsewhere(*session, pool.entry.id, StatementError::kBusy,
                     Duration(0));
    }
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RecordFreshness(EndpointPool& pool,
                                        std::optional<StatementError> error) {
  // Other errors don't show how far the replica has applied its log.
  if (!error || error == StatementError::kBehind) {
    pool.RecordFreshness(error.has_value());
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleConnectionLoss(uint64_t connection_id,
                                             std::string_view reason) {
  PooledConnection* found = FindConnection(connection_id);
  if (found == nullptr) {
    return;
  }
  const EndpointId endpoint = found->endpoint;
  const ConnectionState state = found->state;
  const bool was_forwarded = found->IsForwarded();
  CallerSession* session = FindSession(found->session);
  CloseEndpointConnection(connection_id);
  // The loss of a holder says nothing about the endpoint.
  if (state == ConnectionState::kRunning && !was_forwarded) {
    RecordPlacementFailure(endpoint);
  }
  if (session == nullptr) {
    return;
  }
  ActiveStatement& statement = session->statement;
  std::erase(statement.connections, connection_id);
  LogEvent(
      Event::kConnectionLost,
      {{"endpoint", endpoint.value},
       {"request", statement.request_id},
       {"need", std::string(EndpointRequirementName(statement.requirement))},
       {"reason", std::string(reason)}});
  if (state == ConnectionState::kReserved) {
    session->connection = 0;
    session->transaction = TransactionPhase::kLost;
    return;
  }
  if (state == ConnectionState::kBeginning &&
      statement.requirement == EndpointRequirement::kOpenTransaction) {
    session->connection = 0;
    FailStatement(*session, StatementError::kAborted, reason);
    return;
  }
  if (state == ConnectionState::kBeginning) {
    RetryElsewhere(*session, endpoint, StatementError::kBusy, Duration(0));
    return;
  }
  if (!statement.connections.empty()) {
    // The statement also runs at another endpoint.
    return;
  }
  const bool commits = statement.kind == StatementKind::kCommit;
  if (statement.requirement == EndpointRequirement::kOpenTransaction) {
    session->connection = 0;
    const bool unknown = commits && session->transaction_wrote;
    FailStatement(*session,
                  unknown ? StatementError::kUnknown : StatementError::kAborted,
                  reason);
    return;
  }
  if (statement.IsAutocommitWrite()) {
    FailStatement(*session, StatementError::kUnknown, reason);
    return;
  }
  // A read, or the first statement of a transaction, which was not committed.
  // The loss of a holder says nothing about the endpoint.
  RetryElsewhere(
      *session, endpoint,
      was_forwarded ? StatementError::kBusy : StatementError::kAborted,
      Duration(0));
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleEndpointOpened(uint64_t id) {
  PooledConnection* connection = FindConnection(id);
  if (connection == nullptr) {
    return;
  }
  EndpointPool* pool = FindPool(connection->endpoint);
  if (pool == nullptr) {
    CloseEndpointConnection(id);
    return;
  }
  if (!connection->IsForwarded()) {
    // The handshake of the transport takes one round trip and no slot.
    pool->record.response.RecordRoundTrip(net_.Now() -
                                          connection->last_used_at);
  }
  if (connection->IsForwarded()) {
    D::AppendForwardingOpen(net_.GetEndpointBuffer(id),
                            pool->entry.service.value, pool->entry.id.value);
    ExpectReply(*connection, EndpointRequestKind::kOpen);
    return;
  }
  D::AppendOpen(
      net_.GetEndpointBuffer(id), pool->entry.service.value,
      connection->team.IsEmpty() ? options_.vm : connection->team.value,
      pool->entry.id.value);
  ExpectReply(*connection, EndpointRequestKind::kOpen);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleEndpointClosed(uint64_t id, std::error_code ec) {
  const PooledConnection* connection = FindConnection(id);
  if (connection == nullptr) {
    return;
  }
  const EndpointId endpoint = connection->endpoint;
  const VmId holder = connection->holder;
  const bool was_idle = connection->state == ConnectionState::kIdle;
  // The holder is not used again for the statement that the loss affects.
  if (!was_idle && !holder.IsEmpty()) {
    RecordHolderFailure(holder, ec.message());
  }
  HandleConnectionLoss(id, ec.message());
  // An endpoint may close idle connections; any other close is a failure.
  if (EndpointPool* pool = FindPool(endpoint);
      pool != nullptr && !was_idle && holder.IsEmpty()) {
    HandleEndpointFailure(*pool, EndpointCondition::kUnreachable);
  }
  if (EndpointPool* pool = FindPool(endpoint)) {
    StartQueued(*pool);
  }
}

template <ForwardingDialect D, class N>
PreparedTotals TrafficCore<D, N>::CountPrepared() const {
  PreparedTotals totals;
  for (const auto& [id, connection] : connections_) {
    totals.names += connection.prepared.Count();
    totals.shape_bytes += connection.prepared.GetShapeBytes();
  }
  return totals;
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_CONNECTIONS_H_
