#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_DISPATCH_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_DISPATCH_H_

// Routing of statements to endpoints and connections. Included by
// traffic_core.h.

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::Dispatch(CallerSession& session) {
  ActiveStatement& statement = session.statement;
  // A read that waits for a primary is dispatched early if a freshness bound
  // arrives. It must not be dispatched again once the primary is known.
  RemoveFromQueues(session);
  // The second attempt of a read may still be the one that is answered.
  if (IsRefusing() && statement.connections.empty()) {
    RefuseUnsent(session);
    return;
  }
  if (statement.base_requirement == EndpointRequirement::kOpenTransaction) {
    SendInTransaction(session);
    return;
  }
  // An attempt under a later configuration than the first one.
  if (statement.config_version != view_->routes->version &&
      !RefreshTeam(session)) {
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
  pool.serves_teams = pool.serves_teams || !session.team.IsEmpty();
  pool.Enqueue({session.id, session.statement.id, session.statement.priority,
                session.statement.deadline, HashTeam(session.team)});
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
  // A statement whose team has no connection does not hold up those behind it.
  std::vector<uint64_t> passed_over;
  size_t at = 0;
  QueuedStatement unconnected = FindUnconnected(pool);
  while (at < pool.queue.size() && pool.running < pool.GetConcurrencyLimit()) {
    const QueuedStatement next = pool.queue[at];
    if (std::find(passed_over.begin(), passed_over.end(), next.team_hash) !=
        passed_over.end()) {
      ++at;
      continue;
    }
    const auto position = pool.queue.begin() + static_cast<std::ptrdiff_t>(at);
    if (!IsInProgress(next.session, next.statement_id)) {
      pool.queue.erase(position);
      continue;
    }
    CallerSession& session = *FindSession(next.session);
    PooledConnection* connection = PickIdleConnection(pool, session);
    if (connection == nullptr) {
      if (!HasIdleConnection(pool)) {
        break;
      }
      passed_over.push_back(next.team_hash);
      ++at;
      continue;
    }
    if (IsOwedToOtherTeam(pool, *connection, unconnected)) {
      if (CountTeamConnections(pool, connection->team) == 1) {
        pool.rotated_at = net_.Now();
      }
      unconnected = {};
      ++counters_.connections_evicted;
      CloseEndpointConnection(connection->id);
      continue;
    }
    pool.queue.erase(position);
    session.statement.queued_endpoint = {};
    if (RenewPermit(session)) {
      StartStatement(*connection, session);
    }
  }
  if (!pool.queue.empty() && pool.running < pool.GetConcurrencyLimit()) {
    OpenConnections(pool);
  }
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::HasIdleConnection(const EndpointPool& pool) {
  return std::any_of(pool.connections.begin(), pool.connections.end(),
                     [this](uint64_t it) {
                       const PooledConnection* connection = FindConnection(it);
                       return connection != nullptr &&
                              connection->state == ConnectionState::kIdle;
                     });
}

template <ForwardingDialect D, class N>
std::vector<uint64_t> TrafficCore<D, N>::ListConnectedTeams(
    const EndpointPool& pool) {
  std::vector<uint64_t> teams;
  for (const uint64_t it : pool.connections) {
    const PooledConnection* connection = FindConnection(it);
    if (connection != nullptr && !connection->IsForwarded()) {
      teams.push_back(HashTeam(connection->team));
    }
  }
  std::sort(teams.begin(), teams.end());
  return teams;
}

template <ForwardingDialect D, class N>
QueuedStatement TrafficCore<D, N>::FindUnconnected(const EndpointPool& pool) {
  if (!UsesTeams(pool) || pool.queue.empty()) {
    return {};
  }
  const size_t n = pool.connections.size();
  const bool is_full = pool.IsForwarding() ? CountDirectConnections(pool) >=
                                                 kMaxScarceConnections
                                           : n >= GetMaxConnections(pool);
  if (!is_full ||
      !pool.CanOpenConnection(static_cast<uint32_t>(n) + 1, net_.Now()) ||
      CountOpening(pool) >= GetMaxOpening(pool) ||
      ChooseHolder(pool, TeamId{}) != nullptr) {
    return {};
  }
  const std::vector<uint64_t> connected = ListConnectedTeams(pool);
  const auto it = std::find_if(
      pool.queue.begin(), pool.queue.end(), [&](const QueuedStatement& it) {
        return !std::binary_search(connected.begin(), connected.end(),
                                   it.team_hash) &&
               IsInProgress(it.session, it.statement_id);
      });
  return it == pool.queue.end() ? QueuedStatement{} : *it;
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::IsOwedToOtherTeam(const EndpointPool& pool,
                                          const PooledConnection& connection,
                                          const QueuedStatement& unconnected) {
  // Busy teams would otherwise keep all connections.
  if (unconnected.statement_id == 0 || connection.IsForwarded() ||
      HashTeam(connection.team) == unconnected.team_hash) {
    return false;
  }
  if (CountTeamConnections(pool, connection.team) > 1) {
    return true;
  }
  const CallerSession* session = FindSession(unconnected.session);
  const TimePoint now = net_.Now();
  return session != nullptr &&
         now - session->statement.received_at >= kMaxWaitForOtherTeams &&
         now - pool.rotated_at >= kMinRotationInterval;
}

template <ForwardingDialect D, class N>
size_t TrafficCore<D, N>::CountOpening(const EndpointPool& pool) {
  return static_cast<size_t>(std::count_if(
      pool.connections.begin(), pool.connections.end(), [this](uint64_t it) {
        const PooledConnection* connection = FindConnection(it);
        return connection != nullptr &&
               connection->state == ConnectionState::kOpening;
      }));
}

template <ForwardingDialect D, class N>
size_t TrafficCore<D, N>::GetMaxOpening(const EndpointPool& pool) const {
  if (!UsesTeams(pool) || pool.IsForwarding() || pool.running == 0) {
    return kMaxOpeningConnections;
  }
  // One slot is left to the statements that have connections, whatever all
  // VMs that share the endpoint open.
  const uint32_t slots = std::max(1U, pool.entry.slots) - 1;
  return std::clamp<size_t>(slots / std::max(1U, CountSharers(pool)), 1,
                            kMaxOpeningConnections);
}

template <ForwardingDialect D, class N>
size_t TrafficCore<D, N>::CountTeamConnections(const EndpointPool& pool,
                                               const TeamId& team) {
  return static_cast<size_t>(std::count_if(
      pool.connections.begin(), pool.connections.end(), [&](uint64_t it) {
        const PooledConnection* connection = FindConnection(it);
        return connection != nullptr && !connection->IsForwarded() &&
               connection->team == team;
      }));
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::CloseForOpening(EndpointPool& pool,
                                        const EndpointHolder* holder,
                                        const TeamId& team,
                                        bool only_direct) {
  const VmId needed_holder = holder == nullptr ? VmId{} : holder->vm;
  const bool has_connection =
      holder == nullptr && CountTeamConnections(pool, team) > 0;
  const PooledConnection* oldest = nullptr;
  for (const uint64_t it : pool.connections) {
    const PooledConnection* connection = FindConnection(it);
    if (connection == nullptr || connection->state != ConnectionState::kIdle ||
        (only_direct && connection->IsForwarded()) ||
        (connection->holder == needed_holder &&
         (holder != nullptr || connection->team == team))) {
      continue;
    }
    if (oldest == nullptr || connection->last_used_at < oldest->last_used_at) {
      oldest = connection;
    }
  }
  if (oldest == nullptr ||
      (has_connection &&
       net_.Now() - oldest->last_used_at < kMinIdleBeforeEviction)) {
    return false;
  }
  ++counters_.connections_evicted;
  CloseEndpointConnection(oldest->id);
  return true;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::OpenConnections(EndpointPool& pool) {
  const TimePoint now = net_.Now();
  const bool has_teams = UsesTeams(pool);
  size_t opening_count = 0;
  // Connections that a queued statement will find idle in a moment.
  std::vector<const PooledConnection*> opening;
  for (const uint64_t it : pool.connections) {
    const PooledConnection* connection = FindConnection(it);
    if (connection == nullptr) {
      continue;
    }
    const bool is_opening = connection->state == ConnectionState::kOpening;
    opening_count += is_opening ? 1 : 0;
    // One that has just been opened first begins its transaction.
    if (is_opening ||
        (has_teams && connection->state == ConnectionState::kReturning)) {
      opening.push_back(connection);
    }
  }
  const size_t max_opening = GetMaxOpening(pool);
  const uint32_t share = GetMaxConnections(pool);
  const bool is_direct = ChooseHolder(pool, TeamId{}) == nullptr;
  std::vector<uint64_t> connected;
  if (has_teams && is_direct) {
    connected = ListConnectedTeams(pool);
  }
  // Teams without a connection come first.
  for (const bool for_new_teams : {true, false}) {
    if (for_new_teams && !(has_teams && is_direct)) {
      continue;
    }
    for (const QueuedStatement& it : pool.queue) {
      if (opening_count >= max_opening) {
        return;
      }
      const bool is_new =
          has_teams && is_direct &&
          !std::binary_search(connected.begin(), connected.end(), it.team_hash);
      if (is_new != for_new_teams ||
          (has_teams && !IsInProgress(it.session, it.statement_id))) {
        continue;
      }
      const CallerSession* session = FindSession(it.session);
      const TeamId team = session == nullptr ? TeamId{} : session->team;
      const EndpointHolder* holder = ChooseHolder(pool, team);
      const TeamId owner = holder == nullptr ? team : TeamId{};
      const auto served = std::find_if(
          opening.begin(), opening.end(), [&](const PooledConnection* found) {
            return !has_teams ||
                   (found->team == owner &&
                    found->holder == (holder == nullptr ? VmId{} : holder->vm));
          });
      if (served != opening.end()) {
        opening.erase(served);
        continue;
      }
      if (holder == nullptr && pool.IsForwarding() &&
          CountDirectConnections(pool) >= kMaxScarceConnections &&
          !(has_teams && CloseForOpening(pool, holder, owner, true))) {
        return;
      }
      if (has_teams && pool.connections.size() >= share &&
          pool.CanOpenConnection(share + 1, now)) {
        CloseForOpening(pool, holder, owner);
      }
      if (!pool.CanOpenConnection(share, now)) {
        return;
      }
      OpenConnection(pool, holder, owner);
      ++opening_count;
      if (is_new) {
        // The second pass does not open another one for the same statement.
        opening.push_back(FindConnection(pool.connections.back()));
        connected.insert(
            std::upper_bound(connected.begin(), connected.end(), it.team_hash),
            it.team_hash);
      }
    }
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::OpenConnection(EndpointPool& pool,
                                       const EndpointHolder* holder,
                                       const TeamId& team) {
  const TimePoint now = net_.Now();
  const uint64_t id = next_id_++;
  PooledConnection& connection = connections_[id];
  connection.id = id;
  connection.endpoint = pool.entry.id;
  connection.team = team;
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
  const EndpointHolder* holder =
      session.team.IsEmpty() ? nullptr : ChooseHolder(pool, session.team);
  PooledConnection* best = nullptr;
  for (const uint64_t it : pool.connections) {
    PooledConnection* connection = FindConnection(it);
    if (connection == nullptr || connection->state != ConnectionState::kIdle ||
        (connection->IsForwarded() && IsHolderBackedOff(connection->holder))) {
      continue;
    }
    if (!connection->IsForwarded() && connection->team != session.team) {
      continue;
    }
    if (connection->IsForwarded() && holder != nullptr &&
        connection->holder != holder->vm) {
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
    if (!MayUse(connection, session)) {
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
  EmptyBuffer(connection.rows);
  if (std::find(statement.connections.begin(), statement.connections.end(),
                connection.id) == statement.connections.end()) {
    statement.connections.push_back(connection.id);
  }
  if (EndpointPool* pool = FindPool(connection.endpoint)) {
    if (options_.has_adaptive_placement) {
      pool->record.RecordSent(pool->running, now);
    }
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
