#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_CONNECTIONS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_CONNECTIONS_H_

// Connections between statements. Included by traffic_core.h.

#include <algorithm>
#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <WireDialect D, class N>
PooledConnection* TrafficCore<D, N>::FindConnection(uint64_t id) {
  const auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : &it->second;
}

template <WireDialect D, class N>
EndpointPool* TrafficCore<D, N>::FindPool(const EndpointId& id) {
  const auto it = pools_.find(id);
  return it == pools_.end() ? nullptr : &it->second;
}

template <WireDialect D, class N>
EndpointPool* TrafficCore<D, N>::FindLeaderPool(const ServiceState& service) {
  const EndpointId* leader = service.leader.Get();
  return leader == nullptr ? nullptr : FindPool(*leader);
}

template <WireDialect D, class N>
bool TrafficCore<D, N>::IsLeader(const EndpointPool& pool) {
  const EndpointId* leader = GetService(pool.entry.service).leader.Get();
  return leader != nullptr && *leader == pool.entry.id;
}

template <WireDialect D, class N>
void TrafficCore<D, N>::Expect(PooledConnection& connection,
                               Exchange exchange,
                               uint64_t ticket) {
  connection.expected.push_back({exchange, net_.Now(), ticket, std::nullopt});
}

template <WireDialect D, class N>
void TrafficCore<D, N>::LeaveTransaction(PooledConnection& connection) {
  if (connection.status == ConnectionStatus::kIdle) {
    return;
  }
  D::AppendRollback(net_.GetEndpointBuffer(connection.id));
  Expect(connection, Exchange::kRollback);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::BeginAhead(PooledConnection& connection) {
  connection.begun_version = view_->routes->version;
  D::AppendBegin(net_.GetEndpointBuffer(connection.id));
  Expect(connection, Exchange::kBegin);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::SyncValues(PooledConnection& connection,
                                   const SessionValues& values) {
  if (connection.values_in_transaction ||
      HasSurplus(connection.values, values)) {
    D::AppendReset(net_.GetEndpointBuffer(connection.id));
    Expect(connection, Exchange::kReset);
    connection.values.clear();
    connection.prepared.clear();
    connection.values_in_transaction = false;
  }
  AddValues(connection, values);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::AddValues(PooledConnection& connection,
                                  const SessionValues& values) {
  std::string& out = net_.GetEndpointBuffer(connection.id);
  for (const auto& [name, value] : values) {
    if (const auto it = connection.values.find(name);
        it != connection.values.end() && it->second == value) {
      continue;
    }
    D::AppendSetValue(out, name, value);
    Expect(connection, Exchange::kSetValue);
    connection.values.insert_or_assign(name, value);
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::Settle(PooledConnection& connection) {
  EndpointPool* pool = FindPool(connection.endpoint);
  const bool has_served = connection.use != ConnectionUse::kOpening &&
                          connection.use != ConnectionUse::kIdle;
  connection.use = ConnectionUse::kSettling;
  connection.session = 0;
  connection.rows.clear();
  // Other VMs wait for a connection: the round trip of settling is theirs.
  const bool yields = has_served && pool != nullptr && GetPart(*pool) < 1 &&
                      pool->IsFull(net_.Now()) && pool->queue.empty() &&
                      connection.expected.empty();
  if (pool == nullptr || pool->gone || yields) {
    DropConnection(connection.id);
    return;
  }
  LeaveTransaction(connection);
  if (IsLeader(*pool)) {
    BeginAhead(connection);
  }
  if (connection.expected.empty()) {
    BecomeIdle(connection);
    return;
  }
  WatchSettling(connection);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::WatchSettling(PooledConnection& connection) {
  connection.settling_since = net_.Now();
  Remind({connection.settling_since + kAbandonedLimit,
          Reminder::kSettling,
          connection.id,
          0,
          {}});
}

template <WireDialect D, class N>
void TrafficCore<D, N>::BecomeIdle(PooledConnection& connection) {
  connection.use = ConnectionUse::kIdle;
  EndpointPool* pool = FindPool(connection.endpoint);
  if (pool == nullptr || pool->gone) {
    DropConnection(connection.id);
    return;
  }
  // Whoever waits comes before the share: the connection was opened for it.
  StartQueued(*pool);
  if (pool->connections.size() > GetShare(*pool)) {
    ShrinkPool(*pool);
  }
  if (!std::exchange(pool->unused_watched, true)) {
    Remind({net_.Now() + GetUnusedLimit(*pool), Reminder::kUnused, 0, 0,
            pool->entry.id});
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::Abandon(uint64_t connection_id) {
  PooledConnection* connection = FindConnection(connection_id);
  if (connection == nullptr) {
    return;
  }
  connection->session = 0;
  connection->use = ConnectionUse::kAbandoned;
  Remind({net_.Now() + kAbandonedLimit,
          Reminder::kAbandoned,
          connection_id,
          connection->expected.empty() ? 0 : connection->expected.back().ticket,
          {}});
}

template <WireDialect D, class N>
void TrafficCore<D, N>::DropConnection(uint64_t connection_id) {
  const auto it = connections_.find(connection_id);
  if (it == connections_.end()) {
    return;
  }
  if (EndpointPool* pool = FindPool(it->second.endpoint)) {
    std::erase(pool->connections, connection_id);
    pool->running -= static_cast<uint32_t>(
        std::count_if(it->second.expected.begin(), it->second.expected.end(),
                      [](const ExpectedAnswer& answer) {
                        return answer.exchange == Exchange::kStatement;
                      }));
  }
  connections_.erase(it);
  net_.CloseEndpoint(connection_id);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::RetirePool(EndpointPool& pool) {
  pool.gone = true;
  const std::vector<uint64_t> ids = pool.connections;
  for (const uint64_t it : ids) {
    const PooledConnection* connection = FindConnection(it);
    const bool unused =
        connection != nullptr && (connection->use == ConnectionUse::kIdle ||
                                  connection->use == ConnectionUse::kSettling ||
                                  connection->use == ConnectionUse::kOpening);
    if (unused) {
      DropConnection(it);
    }
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::NotePoolFailure(EndpointPool& pool,
                                        EndpointCondition condition) {
  const TimePoint now = net_.Now();
  pool.NoteFailure(now);
  LogEvent(Event::kEndpointFailureObserved,
           {{"endpoint", pool.entry.id.value},
            {"service", pool.entry.service.value},
            {"condition", std::string(ConditionName(condition))},
            {"failures", std::to_string(pool.failures)}});
  net_.Report({pool.entry.id, condition});
  MoveReads(pool);
  Remind({now + kConnectTimeout / 4, Reminder::kPool, 0, 0, pool.entry.id});
}

template <WireDialect D, class N>
void TrafficCore<D, N>::MoveReads(EndpointPool& pool) {
  // Reads that wait here go elsewhere; what needs this primary stays.
  const std::deque<QueuedStatement> queue = pool.queue;
  for (const QueuedStatement& it : queue) {
    CallerSession* session = FindSession(it.session);
    if (session == nullptr || session->work.ticket != it.ticket) {
      pool.Remove(it.ticket);
    } else if (!NeedsLeader(session->work.need)) {
      pool.Remove(it.ticket);
      RetryElsewhere(*session, pool.entry.id, Refusal::kBusy, Duration(0));
    }
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::NoteFreshness(EndpointPool& pool,
                                      std::optional<Refusal> refusal) {
  // Other refusals say nothing about how far it is.
  if (!refusal || refusal == Refusal::kBehind) {
    pool.NoteFreshness(refusal.has_value());
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::NoteProven(EndpointPool& pool,
                                   TimePoint asked_at,
                                   LogPoint point) {
  ServiceState& service = GetService(pool.entry.service);
  if (point.term < service.leader.GetTerm()) {
    return;
  }
  service.bounds.Record(asked_at, point);
  const bool newer = point.term > service.leader.GetTerm();
  if (service.leader.NoteProven(pool.entry.id, point.term)) {
    LogEvent(Event::kPrimaryConfirmed,
             {{"service", pool.entry.service.value},
              {"endpoint", pool.entry.id.value},
              {"term", std::to_string(point.term.value)}});
    LeaderChanged(service);
  }
  if (newer) {
    net_.LeaderSeen(pool.entry.id, point.term);
  }
  if (!service.asked_by.empty()) {
    AnswerPeers(pool.entry.service, service);
  }
  if (!service.awaiting_bound.empty()) {
    ReleaseAwaiting(service);
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::NoteNotLeading(EndpointPool& pool) {
  const TimePoint now = net_.Now();
  if (GetService(pool.entry.service).leader.NoteRefused(pool.entry.id, now)) {
    net_.Report({pool.entry.id, EndpointCondition::kNotLeading});
    Remind({now + kLeaderReview, Reminder::kLeaders, 0, 0, {}});
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::LoseConnection(uint64_t connection_id,
                                       std::string_view reason) {
  PooledConnection* found = FindConnection(connection_id);
  if (found == nullptr) {
    return;
  }
  const PooledConnection lost = *found;
  DropConnection(connection_id);
  CallerSession* session = FindSession(lost.session);
  if (session == nullptr) {
    return;
  }
  SessionWork& work = session->work;
  std::erase(work.connections, connection_id);
  LogEvent(Event::kConnectionLost, {{"endpoint", lost.endpoint.value},
                                    {"request", work.request_id},
                                    {"need", std::string(NeedName(work.need))},
                                    {"reason", std::string(reason)}});
  if (lost.use == ConnectionUse::kHeld) {
    session->connection = 0;
    session->transaction = TransactionPhase::kLost;
    return;
  }
  if (lost.use == ConnectionUse::kPreparing) {
    RetryElsewhere(*session, lost.endpoint, Refusal::kBusy, Duration(0));
    return;
  }
  if (!work.connections.empty()) {
    // The statement also runs elsewhere.
    return;
  }
  const bool commits = work.kind == StatementKind::kCommit;
  if (work.need == Need::kWithin) {
    session->connection = 0;
    const bool unknown = commits && session->transaction_wrote;
    FailWork(*session, unknown ? Refusal::kUnknown : Refusal::kAborted, reason);
    return;
  }
  if (work.IsSingleWrite()) {
    FailWork(*session, Refusal::kUnknown, reason);
    return;
  }
  // A read, or the first statement of a transaction that was never committed.
  RetryElsewhere(*session, lost.endpoint, Refusal::kAborted, Duration(0));
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleEndpointOpened(uint64_t id) {
  PooledConnection* connection = FindConnection(id);
  if (connection == nullptr) {
    return;
  }
  const EndpointPool* pool = FindPool(connection->endpoint);
  if (pool == nullptr) {
    DropConnection(id);
    return;
  }
  D::AppendOpen(net_.GetEndpointBuffer(id), pool->entry.service.value,
                options_.vm, pool->entry.id.value);
  Expect(*connection, Exchange::kOpen);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleEndpointClosed(uint64_t id, std::error_code ec) {
  const PooledConnection* connection = FindConnection(id);
  if (connection == nullptr) {
    return;
  }
  const EndpointId endpoint = connection->endpoint;
  const bool was_opening = connection->use == ConnectionUse::kOpening;
  const bool was_idle = connection->use == ConnectionUse::kIdle;
  LoseConnection(id, ec.message());
  EndpointPool* pool = FindPool(endpoint);
  if (pool == nullptr) {
    return;
  }
  // An endpoint may end connections that rest; any other end is a failure.
  if (was_opening || !was_idle) {
    NotePoolFailure(*pool, EndpointCondition::kUnreachable);
  }
  StartQueued(*pool);
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_CONNECTIONS_H_
