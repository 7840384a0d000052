#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_BOUNDS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_BOUNDS_H_

// Requests for freshness bounds. Included by traffic_core.h.

#include <deque>
#include <functional>
#include <utility>
#include <vector>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RefreshBounds(ServiceState& service,
                                      Duration max_bound_age) {
  const EndpointPool* pool = FindPrimaryPool(service);
  if (pool == nullptr) {
    return;
  }
  if (!AreConnectionsScarce(*pool)) {
    RequestPrimaryBound(pool->entry.service);
    return;
  }
  // VMs outnumber the primary's connections: one VM of each region queries the
  // primary, and the others query that VM.
  const TimePoint now = net_.Now();
  if (now - service.peer_bound_requested_at < kPeerBoundTimeout) {
    return;
  }
  service.peer_bound_requested_at = now;
  net_.RequestPeerBound({pool->entry.service, max_bound_age / 2});
  ScheduleTimer({now + kPeerBoundTimeout, TimerKind::kPeerBoundTimeout, 0, 0,
                 pool->entry.id});
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RequestPrimaryBound(const ServiceId& id) {
  ServiceState& service = GetService(id);
  const TimePoint now = net_.Now();
  EndpointPool* pool = FindPrimaryPool(service);
  if (pool == nullptr ||
      now - service.primary_bound_requested_at < kSlowStatementThreshold) {
    return;
  }
  for (const uint64_t it : pool->connections) {
    PooledConnection* connection = FindConnection(it);
    if (connection != nullptr && !connection->IsForwarded() &&
        connection->state == ConnectionState::kIdle) {
      service.primary_bound_requested_at = now;
      pool->RecordUse(now);
      connection->last_used_at = now;
      ReturnToPool(*connection);
      return;
    }
  }
  // A new connection starts with BEGIN, whose reply is a bound; replies on busy
  // connections contain bounds as well.
  const auto n = static_cast<uint32_t>(pool->connections.size());
  if (CountDirectConnections(*pool) == 0 &&
      pool->CanOpenConnection(n + 1, now)) {
    service.primary_bound_requested_at = now;
    pool->RecordUse(now);
    OpenConnection(*pool, nullptr, TeamId{});
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleBoundQuery(
    const FreshnessBoundQuery& query,
    std::function<void(const FreshnessBound&)> reply) {
  const auto it = services_.find(query.service);
  if (it == services_.end()) {
    return;
  }
  ServiceState& service = it->second;
  service.pending_bound_queries.push_back(std::move(reply));
  if (net_.Now() - service.bounds.GetNewestRequestTime() <=
      query.max_bound_age) {
    ReplyToBoundQueries(query.service, service);
    return;
  }
  RequestPrimaryBound(query.service);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::ReplyToBoundQueries(const ServiceId& id,
                                            ServiceState& service) {
  const FreshnessBound bound{
      id, service.bounds.GetNewestLogPoint(),
      net_.Now() - service.bounds.GetNewestRequestTime()};
  for (const auto& it : std::exchange(service.pending_bound_queries, {})) {
    it(bound);
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RecordPeerBound(const FreshnessBound& bound,
                                        TimePoint requested_at) {
  const auto it = services_.find(bound.service);
  if (it == services_.end() ||
      bound.point.term < it->second.primary_tracker.GetTerm()) {
    return;
  }
  it->second.bounds.RecordFromPeer(requested_at, bound);
  DispatchReadsAwaitingBound(it->second);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::DispatchReadsAwaitingBound(ServiceState& service) {
  const std::deque<QueuedStatement> awaiting =
      std::exchange(service.reads_awaiting_bound, {});
  for (const QueuedStatement& it : awaiting) {
    if (IsInProgress(it.session, it.statement_id)) {
      CallerSession& session = *FindSession(it.session);
      if (session.statement.IsUnassigned()) {
        Dispatch(session);
      }
    }
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_BOUNDS_H_
