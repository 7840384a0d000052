#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_BOUNDS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_BOUNDS_H_

// How freshness bounds are come by. Included by traffic_core.h.

#include <deque>
#include <functional>
#include <utility>
#include <vector>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <WireDialect D, class N>
void TrafficCore<D, N>::RefreshBounds(ServiceState& service,
                                      Duration most_age) {
  const EndpointPool* pool = FindLeaderPool(service);
  if (pool == nullptr) {
    return;
  }
  if (GetPart(*pool) >= 1) {
    AskPrimary(pool->entry.service);
    return;
  }
  // The primary's connections are scarce: one VM of each region asks it, the
  // others ask that VM.
  const TimePoint now = net_.Now();
  if (now - service.peers_asked_at < kPeerBoundWait) {
    return;
  }
  service.peers_asked_at = now;
  net_.AskPeers({pool->entry.service, most_age / 2});
  Remind({now + kPeerBoundWait, Reminder::kBound, 0, 0, pool->entry.id});
}

template <WireDialect D, class N>
void TrafficCore<D, N>::AskPrimary(const ServiceId& id) {
  ServiceState& service = GetService(id);
  const TimePoint now = net_.Now();
  EndpointPool* pool = FindLeaderPool(service);
  if (pool == nullptr || now - service.bounds_asked_at < kSlowAfter) {
    return;
  }
  for (const uint64_t it : pool->connections) {
    PooledConnection* connection = FindConnection(it);
    if (connection != nullptr && connection->use == ConnectionUse::kIdle) {
      service.bounds_asked_at = now;
      pool->NoteUse(now);
      connection->worked_at = now;
      Settle(*connection);
      return;
    }
  }
  // A new connection begins with the question; busy ones bring a bound too.
  if (pool->connections.empty() && pool->MayOpen(1, now)) {
    service.bounds_asked_at = now;
    pool->NoteUse(now);
    OpenConnection(*pool);
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::AnswerBound(
    const BoundQuestion& question,
    std::function<void(const PeerBound&)> answer) {
  const auto it = services_.find(question.service);
  if (it == services_.end()) {
    return;
  }
  ServiceState& service = it->second;
  service.asked_by.push_back(std::move(answer));
  if (net_.Now() - service.bounds.GetNewest() <= question.most_age) {
    AnswerPeers(question.service, service);
    return;
  }
  AskPrimary(question.service);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::AnswerPeers(const ServiceId& id,
                                    ServiceState& service) {
  const PeerBound bound{id, service.bounds.GetNewestPoint(),
                        net_.Now() - service.bounds.GetNewest()};
  for (const auto& it : std::exchange(service.asked_by, {})) {
    it(bound);
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::TakeBound(const PeerBound& bound, TimePoint asked_at) {
  const auto it = services_.find(bound.service);
  if (it == services_.end() || bound.point.term < it->second.leader.GetTerm()) {
    return;
  }
  it->second.bounds.RecordFromPeer(asked_at, bound);
  ReleaseAwaiting(it->second);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::ReleaseAwaiting(ServiceState& service) {
  const std::deque<QueuedStatement> awaiting =
      std::exchange(service.awaiting_bound, {});
  for (const QueuedStatement& it : awaiting) {
    if (IsStillWaiting(it.session, it.ticket)) {
      CallerSession& session = *FindSession(it.session);
      if (session.work.queued_at.IsEmpty() &&
          session.work.connections.empty()) {
        Dispatch(session);
      }
    }
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_BOUNDS_H_
