#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_READS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_READS_H_

// Where reads go that a replica may serve, and how fresh it must be. Included
// by traffic_core.h.

#include <algorithm>
#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <WireDialect D, class N>
void TrafficCore<D, N>::DispatchRead(CallerSession& session) {
  ActiveStatement& work = session.work;
  ServiceState& service = GetService(session.route->service);
  const TimePoint not_before =
      work.began_at - session.route->max_staleness + kStalenessMargin;
  work.after = service.bounds.Find(not_before);
  const TimePoint now = net_.Now();
  if (now - service.bounds.GetNewest() >
      session.route->max_staleness / kBoundRenewalDivisor) {
    RefreshBounds(service, session.route->max_staleness / kBoundRenewalDivisor);
  }
  const EndpointRequirement proven =
      work.need == EndpointRequirement::kReadTransaction
          ? EndpointRequirement::kReadWriteTransaction
          : EndpointRequirement::kPrimaryRead;
  if (!work.after && !std::exchange(work.waited_for_bound, true)) {
    // One question to the primary lets every waiting read go to a replica;
    // sending the reads themselves there would overload it after a restart.
    service.reads_awaiting_bound.push_back(
        {session.id, work.ticket, session.route->priority, work.deadline});
    ScheduleTimer(
        {now + kBoundTimeout, TimerKind::kRetry, session.id, work.ticket, {}});
    return;
  }
  if (!work.after) {
    work.need = proven;
    DispatchToPrimary(session);
    return;
  }
  if (session.route->consistency == Consistency::kReadYourWrites &&
      session.last_commit && *session.last_commit > *work.after) {
    work.after = session.last_commit;
  }
  EndpointPool* pool = ChooseReadPool(session, service);
  if (pool == nullptr || IsLeader(*pool)) {
    work.need = proven;
    work.after.reset();
    DispatchToPrimary(session);
    return;
  }
  EnqueueAt(*pool, session);
}

template <WireDialect D, class N>
EndpointPool* TrafficCore<D, N>::ChooseReadPool(const CallerSession& session,
                                                const ServiceState& service) {
  const TimePoint now = net_.Now();
  EndpointPool* best = nullptr;
  Duration best_cost{};
  for (const EndpointId& id : service.endpoints) {
    EndpointPool* pool = FindPool(id);
    if (pool == nullptr || pool->gone) {
      continue;
    }
    const bool leads = IsLeader(*pool);
    if (pool->entry.draining && !leads) {
      continue;
    }
    Duration cost = pool->EstimateLatency();
    if (pool->distance == Distance::kRemote) {
      cost += session.route->latency_objective / kRemotePenaltyDivisor;
    } else if (pool->distance == Distance::kSameRegion) {
      cost += kRegionPenalty;
    }
    if (leads) {
      cost += kPrimaryReadPenalty;
    } else if (session.work.after && pool->IsBehind(*session.work.after, now)) {
      cost += kBehindPenalty;
    }
    if (pool->IsAtConnectionLimit(now)) {
      cost += kConnectionLimitPenalty;
    }
    const auto& passed = session.work.avoided_endpoints;
    if (pool->IsBackedOff(now) ||
        std::find(passed.begin(), passed.end(), id) != passed.end()) {
      cost += kFailedEndpointPenalty;
    }
    if (best == nullptr || cost < best_cost) {
      best = pool;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_READS_H_
