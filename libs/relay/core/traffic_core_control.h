#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_CONTROL_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_CONTROL_H_

// Updates from the control thread. Included by traffic_core.h.

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::Apply(std::shared_ptr<const FleetView> view) {
  const bool new_routes = view->routes->version != view_->routes->version;
  view_ = std::move(view);
  const TimePoint now = net_.Now();
  std::erase_if(holder_states_, [now](const auto& row) {
    return now - row.second.heard_at > kHolderStateRetention &&
           now - row.second.backoff_until > kHolderStateRetention;
  });
  for (auto& [id, service] : services_) {
    service.endpoints.clear();
  }
  for (const auto& [id, rules] : view_->routes->services) {
    services_[id].rules = rules;
  }
  std::vector<EndpointId> listed;
  for (const EndpointEntry& it : view_->endpoints) {
    listed.push_back(it.id);
    services_[it.service].endpoints.push_back(it.id);
    const auto [pool_it, added] =
        pools_.try_emplace(it.id, it, options_.measure_distance(it.site));
    EndpointPool& pool = pool_it->second;
    const bool replaced = pool.entry.address != it.address ||
                          pool.entry.service != it.service ||
                          pool.entry.started_at_ms != it.started_at_ms;
    if (!added && replaced) {
      const std::vector<uint64_t> ids = pool.connections;
      for (const uint64_t connection : ids) {
        // A forwarded statement ends with the holder's reply.
        if (const PooledConnection* found = FindConnection(connection);
            found != nullptr && !found->IsForwarded()) {
          HandleConnectionLoss(connection, "the endpoint has started anew");
        }
      }
    }
    const bool resized = pool.entry.slots != it.slots;
    const bool has_new_drain_time =
        it.draining_since &&
        (added || pool.entry.draining_since != it.draining_since);
    pool.removed = false;
    pool.entry = it;
    if (has_new_drain_time) {
      ScheduleTimer({*it.draining_since + options_.max_draining_use,
                     TimerKind::kDrainingUseLimit, 0, 0, it.id});
    }
    const auto holders = view_->holders.find(it.id);
    pool.holders = holders == view_->holders.end()
                       ? std::nullopt
                       : std::optional(holders->second);
    CloseUnlistedHolders(pool);
    pool.SetSharers(CountSharers(pool));
    if (resized) {
      pool.ResetConcurrencyLimit();
    }
  }
  std::vector<QueuedStatement> moved;
  for (auto it = pools_.begin(); it != pools_.end();) {
    EndpointPool& pool = it->second;
    if (std::binary_search(listed.begin(), listed.end(), it->first)) {
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
    if (service.primary_tracker.UpdateFromDirectory(entries, now)) {
      HandlePrimaryChange(service);
    }
  }
  for (auto& [id, pool] : pools_) {
    if (!pool.queue.empty() && !TakesNewStatements(pool)) {
      DispatchQueueAgain(pool);
    }
  }
  for (const QueuedStatement& it : moved) {
    if (IsInProgress(it.session, it.statement_id)) {
      Dispatch(*FindSession(it.session));
    }
  }
  if (new_routes) {
    RenewUnusedTransactions();
    allowances_.ApplyLimits(view_->routes->teams.get(),
                            options_.allowance_window, now);
    RefreshTeams();
  }
  if (view_->routes->version == 0) {
    return;
  }
  const std::vector<uint64_t> unopened =
      std::exchange(sessions_awaiting_config_, {});
  for (const uint64_t it : unopened) {
    if (CallerSession* session = FindSession(it)) {
      AcceptSession(*session);
    }
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RenewUnusedTransactions() {
  std::vector<uint64_t> begun;
  for (const auto& [id, connection] : connections_) {
    if (connection.state == ConnectionState::kIdle &&
        connection.HasUnusedTransaction()) {
      begun.push_back(id);
    }
  }
  for (const uint64_t it : begun) {
    if (PooledConnection* connection = FindConnection(it)) {
      ReturnToPool(*connection);
    }
  }
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::HasOpenConnection(const EndpointId& endpoint) const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [&endpoint](const auto& row) {
                       const PooledConnection& it = row.second;
                       return it.endpoint == endpoint && !it.IsForwarded() &&
                              it.state != ConnectionState::kOpening;
                     });
}

template <ForwardingDialect D, class N>
std::optional<LogPoint> TrafficCore<D, N>::FindAnsweredCommit(
    const ServiceId& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? std::nullopt
                               : it->second.commit_losses.GetProven();
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_CONTROL_H_
