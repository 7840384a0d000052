#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_POOL_SIZES_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_POOL_SIZES_H_

// Number and idle timeout of this VM's connections to an endpoint. Included by
// traffic_core.h.

#include <algorithm>
#include <vector>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <WireDialect D, class N>
void TrafficCore<D, N>::CloseIdleConnections(EndpointPool& pool) {
  const TimePoint now = net_.Now();
  const Duration limit = GetIdleTimeout(pool);
  const size_t kept = GetConnectionsPerVm(pool) < 1 ? 0 : 1;
  const std::vector<uint64_t> ids = pool.connections;
  for (const uint64_t it : ids) {
    const PooledConnection* connection = FindConnection(it);
    if (pool.connections.size() > kept && connection != nullptr &&
        connection->state == ConnectionState::kIdle &&
        now - connection->last_used_at >= limit) {
      CloseEndpointConnection(it);
    }
  }
  pool.idle_check_scheduled = pool.connections.size() > kept;
  if (pool.idle_check_scheduled) {
    ScheduleTimer({now + std::max(limit / 2, kMinIdleCheckInterval),
                   TimerKind::kIdleCheck, 0, 0, pool.entry.id});
  }
}

template <WireDialect D, class N>
double TrafficCore<D, N>::GetConnectionsPerVm(const EndpointPool& pool) const {
  const auto it = services_.find(pool.entry.service);
  const uint32_t max_connections =
      it == services_.end() ? 0 : it->second.rules.max_connections;
  const uint32_t usable = max_connections > kReservedConnections
                              ? max_connections - kReservedConnections
                              : 1;
  return static_cast<double>(usable) / std::max(1U, view_->live_vms);
}

template <WireDialect D, class N>
uint32_t TrafficCore<D, N>::GetConnectionShare(const EndpointPool& pool) const {
  return std::clamp(static_cast<uint32_t>(GetConnectionsPerVm(pool)), 1U,
                    kMaxConnectionsPerEndpoint);
}

template <WireDialect D, class N>
uint32_t TrafficCore<D, N>::GetMaxConnections(const EndpointPool& pool) const {
  return GetConnectionsPerVm(pool) < 1 ? kMaxScarceConnections
                                       : GetConnectionShare(pool);
}

template <WireDialect D, class N>
Duration TrafficCore<D, N>::GetIdleTimeout(const EndpointPool& pool) const {
  const double connections_per_vm = GetConnectionsPerVm(pool);
  return connections_per_vm < 1
             ? std::min(pool.GetScaledIdleTimeout(connections_per_vm),
                        kIdleConnectionTimeout)
             : kIdleConnectionTimeout;
}

template <WireDialect D, class N>
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
