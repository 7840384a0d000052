#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_CONTROL_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_CONTROL_H_

// What the control thread hands over. Included by traffic_core.h.

#include <algorithm>
#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <WireDialect D, class N>
void TrafficCore<D, N>::Apply(std::shared_ptr<const FleetView> view) {
  const bool new_routes = view->routes->version != view_->routes->version;
  const bool shares_changed = view->live_vms != view_->live_vms;
  view_ = std::move(view);
  const TimePoint now = net_.Now();
  for (auto& [id, service] : services_) {
    service.endpoints.clear();
  }
  for (const auto& [id, rules] : view_->routes->services) {
    services_[id].rules = rules;
  }
  std::vector<EndpointId> kept;
  for (const EndpointEntry& it : view_->endpoints) {
    kept.push_back(it.id);
    services_[it.service].endpoints.push_back(it.id);
    const auto [place, added] =
        pools_.try_emplace(it.id, it, options_.measure_distance(it.site));
    EndpointPool& pool = place->second;
    const bool moved = pool.entry.address != it.address ||
                       pool.entry.service != it.service ||
                       pool.entry.started_at_ms != it.started_at_ms;
    if (!added && moved) {
      const std::vector<uint64_t> ids = pool.connections;
      for (const uint64_t connection : ids) {
        LoseConnection(connection, "the endpoint has started anew");
      }
    }
    const bool resized = pool.entry.slots != it.slots;
    pool.gone = false;
    pool.entry = it;
    if (added || resized || shares_changed) {
      pool.ResetLimit(view_->live_vms);
    }
  }
  std::vector<QueuedStatement> moved;
  for (auto it = pools_.begin(); it != pools_.end();) {
    EndpointPool& pool = it->second;
    if (std::binary_search(kept.begin(), kept.end(), it->first)) {
      ShrinkPool(pool);
      ++it;
      continue;
    }
    RetirePool(pool);
    moved.insert(moved.end(), pool.queue.begin(), pool.queue.end());
    pool.queue.clear();
    it = pool.connections.empty() ? pools_.erase(it) : std::next(it);
  }
  for (auto& [id, service] : services_) {
    std::vector<const EndpointEntry*> entries;
    for (const EndpointId& endpoint : service.endpoints) {
      entries.push_back(&FindPool(endpoint)->entry);
    }
    if (service.leader.Review(entries, now)) {
      LeaderChanged(service);
    }
  }
  for (const QueuedStatement& it : moved) {
    if (IsStillWaiting(it.session, it.ticket)) {
      Dispatch(*FindSession(it.session));
    }
  }
  if (new_routes) {
    RenewBegun();
  }
  if (view_->routes->version == 0) {
    return;
  }
  const std::vector<uint64_t> unopened = std::exchange(unopened_, {});
  for (const uint64_t it : unopened) {
    if (CallerSession* session = FindSession(it)) {
      AcceptSession(*session);
    }
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::RenewBegun() {
  std::vector<uint64_t> begun;
  for (const auto& [id, connection] : connections_) {
    if (connection.use == ConnectionUse::kIdle && connection.IsBegunAhead()) {
      begun.push_back(id);
    }
  }
  for (const uint64_t it : begun) {
    Settle(*FindConnection(it));
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::AnnouncePrimary(const ServiceId& service,
                                        const EndpointId& endpoint) {
  ServiceState& state = GetService(service);
  if (state.leader.NoteAnnounced(endpoint, net_.Now())) {
    LeaderChanged(state);
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_CONTROL_H_
