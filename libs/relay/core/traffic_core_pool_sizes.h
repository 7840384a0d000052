#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_POOL_SIZES_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_POOL_SIZES_H_

// Number and idle timeout of this VM's connections to an endpoint. Included by
// traffic_core.h.

#include <algorithm>
#include <vector>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::CloseIdleConnections(EndpointPool& pool) {
  const TimePoint now = net_.Now();
  const Duration limit = GetIdleTimeout(pool);
  const size_t kept = AreConnectionsScarce(pool) && !pool.IsHeldHere() ? 0 : 1;
  size_t n = CountDirectConnections(pool);
  const std::vector<uint64_t> ids = pool.connections;
  for (const uint64_t it : ids) {
    const PooledConnection* connection = FindConnection(it);
    if (n > kept && connection != nullptr && !connection->IsForwarded() &&
        connection->state == ConnectionState::kIdle &&
        now - connection->last_used_at >= limit) {
      CloseEndpointConnection(it);
      --n;
    }
  }
  pool.idle_check_scheduled = n > kept;
  if (pool.idle_check_scheduled) {
    ScheduleTimer({now + std::max(limit / 2, kMinIdleCheckInterval),
                   TimerKind::kIdleCheck, 0, 0, pool.entry.id});
  }
}

template <ForwardingDialect D, class N>
double TrafficCore<D, N>::GetConnectionsPerVm(const EndpointPool& pool) const {
  const auto it = services_.find(pool.entry.service);
  const uint32_t max_connections =
      it == services_.end() ? 0 : it->second.rules.max_connections;
  return magnoliareel::GetConnectionsPerVm(max_connections, view_->live_vms);
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::AreConnectionsScarce(const EndpointPool& pool) const {
  return pool.holders.has_value() || GetConnectionsPerVm(pool) < 1;
}

template <ForwardingDialect D, class N>
uint32_t TrafficCore<D, N>::CountSharers(const EndpointPool& pool) const {
  return pool.IsHeldHere()     ? kHoldersPerEndpoint
         : pool.IsForwarding() ? 1
                               : view_->live_vms;
}

template <ForwardingDialect D, class N>
size_t TrafficCore<D, N>::CountDirectConnections(const EndpointPool& pool) {
  return static_cast<size_t>(std::count_if(
      pool.connections.begin(), pool.connections.end(), [this](uint64_t it) {
        const PooledConnection* connection = FindConnection(it);
        return connection != nullptr && !connection->IsForwarded();
      }));
}

template <ForwardingDialect D, class N>
uint32_t TrafficCore<D, N>::GetConnectionShare(const EndpointPool& pool) const {
  const double connections_per_vm = GetConnectionsPerVm(pool);
  const bool has_teams = view_->routes->teams != nullptr;
  if (pool.IsHeldHere()) {
    const double all = connections_per_vm * view_->live_vms;
    const double used = has_teams ? kTeamConnectionsFraction * all : all / 2;
    return std::clamp(static_cast<uint32_t>(used / kHoldersPerEndpoint), 1U,
                      kMaxHolderConnections);
  }
  if (pool.IsForwarding()) {
    return has_teams ? kHoldersPerEndpoint : kMaxIdleForwardedSessions;
  }
  return std::clamp(static_cast<uint32_t>(connections_per_vm), 1U,
                    kMaxConnectionsPerEndpoint);
}

template <ForwardingDialect D, class N>
uint32_t TrafficCore<D, N>::GetMaxConnections(const EndpointPool& pool) const {
  if (pool.IsForwarding()) {
    return kMaxForwardedSessions;
  }
  return AreConnectionsScarce(pool) && !pool.IsHeldHere()
             ? kMaxScarceConnections
             : GetConnectionShare(pool);
}

template <ForwardingDialect D, class N>
Duration TrafficCore<D, N>::GetIdleTimeout(const EndpointPool& pool) const {
  const double connections_per_vm = GetConnectionsPerVm(pool);
  if (view_->routes->teams != nullptr && pool.IsHeldHere()) {
    return kIdleTeamConnectionTimeout;
  }
  return AreConnectionsScarce(pool) && !pool.IsHeldHere()
             ? std::min(pool.GetScaledIdleTimeout(connections_per_vm),
                        kIdleConnectionTimeout)
             : kIdleConnectionTimeout;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::ShrinkPool(EndpointPool& pool) {
  const uint32_t share = GetConnectionShare(pool);
  const std::vector<uint64_t> ids = pool.connections;
  for (const uint64_t it : ids) {
    if (pool.connections.size() <= share) {
      return;
    }
    const PooledConnection* connection = FindConnection(it);
    if (connection != nullptr && connection->state == ConnectionState::kIdle) {
      CloseEndpointConnection(it);
    }
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_POOL_SIZES_H_
