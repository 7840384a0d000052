#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_SHARES_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_SHARES_H_

// How many connections this VM holds to an endpoint, and for how long. Included
// by traffic_core.h.

#include <algorithm>
#include <vector>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <WireDialect D, class N>
void TrafficCore<D, N>::EndUnused(EndpointPool& pool) {
  const TimePoint now = net_.Now();
  const Duration limit = GetUnusedLimit(pool);
  const size_t kept = GetPart(pool) < 1 ? 0 : 1;
  const std::vector<uint64_t> ids = pool.connections;
  for (const uint64_t it : ids) {
    const PooledConnection* connection = FindConnection(it);
    if (pool.connections.size() > kept && connection != nullptr &&
        connection->use == ConnectionUse::kIdle &&
        now - connection->worked_at >= limit) {
      DropConnection(it);
    }
  }
  pool.unused_watched = pool.connections.size() > kept;
  if (pool.unused_watched) {
    Remind({now + std::max(limit / 2, kLeastUnusedPeriod), Reminder::kUnused, 0,
            0, pool.entry.id});
  }
}

template <WireDialect D, class N>
double TrafficCore<D, N>::GetPart(const EndpointPool& pool) const {
  const auto it = services_.find(pool.entry.service);
  const uint32_t most =
      it == services_.end() ? 0 : it->second.rules.max_connections;
  const uint32_t usable =
      most > kReservedConnections ? most - kReservedConnections : 1;
  return static_cast<double>(usable) / std::max(1U, view_->live_vms);
}

template <WireDialect D, class N>
uint32_t TrafficCore<D, N>::GetShare(const EndpointPool& pool) const {
  return std::clamp(static_cast<uint32_t>(GetPart(pool)), 1U, kMostConnections);
}

template <WireDialect D, class N>
uint32_t TrafficCore<D, N>::GetMost(const EndpointPool& pool) const {
  return GetPart(pool) < 1 ? kMostShared : GetShare(pool);
}

template <WireDialect D, class N>
Duration TrafficCore<D, N>::GetUnusedLimit(const EndpointPool& pool) const {
  const double part = GetPart(pool);
  return part < 1 ? std::min(pool.GetRest(part), kUnusedLimit) : kUnusedLimit;
}

template <WireDialect D, class N>
void TrafficCore<D, N>::ShrinkPool(EndpointPool& pool) {
  const uint32_t share = GetShare(pool);
  const std::vector<uint64_t> ids = pool.connections;
  for (const uint64_t it : ids) {
    if (pool.connections.size() <= share) {
      return;
    }
    const PooledConnection* connection = FindConnection(it);
    if (connection != nullptr && connection->use == ConnectionUse::kIdle) {
      DropConnection(it);
    }
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_SHARES_H_
