#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_READS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_READS_H_

// Choice of the endpoint for reads that a replica may serve, and the log point
// that it must have applied. Included by traffic_core.h.

#include <algorithm>
#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::DispatchRead(CallerSession& session) {
  ActiveStatement& statement = session.statement;
  ServiceState& service = GetService(session.route->service);
  const TimePoint not_before =
      statement.began_at - session.route->max_staleness + kStalenessMargin;
  statement.required_point = service.bounds.Find(not_before);
  const TimePoint now = net_.Now();
  if (now - service.bounds.GetNewestRequestTime() >
      session.route->max_staleness / kBoundRenewalDivisor) {
    RefreshBounds(service, session.route->max_staleness / kBoundRenewalDivisor);
  }
  const EndpointRequirement primary_requirement =
      statement.requirement == EndpointRequirement::kReadTransaction
          ? EndpointRequirement::kReadWriteTransaction
          : EndpointRequirement::kPrimaryRead;
  if (!statement.required_point &&
      !std::exchange(statement.waited_for_bound, true)) {
    // One request to the primary allows all waiting reads to go to replicas.
    // Sending the reads to the primary would overload it after a restart.
    service.reads_awaiting_bound.push_back(
        {session.id, statement.id, statement.priority, statement.deadline});
    ScheduleTimer({now + kBoundTimeout,
                   TimerKind::kStatementRetry,
                   session.id,
                   statement.id,
                   {}});
    return;
  }
  if (!statement.required_point) {
    statement.requirement = primary_requirement;
    DispatchToPrimary(session);
    return;
  }
  if (session.route->consistency == Consistency::kReadYourWrites &&
      session.last_commit && *session.last_commit > *statement.required_point) {
    statement.required_point = session.last_commit;
  }
  EndpointPool* pool = ChooseReadPool(session, service);
  if (pool == nullptr || IsPrimary(*pool)) {
    statement.requirement = primary_requirement;
    statement.required_point.reset();
    DispatchToPrimary(session);
    return;
  }
  EnqueueStatement(*pool, session);
}

template <ForwardingDialect D, class N>
EndpointPool* TrafficCore<D, N>::ChooseReadPool(const CallerSession& session,
                                                ServiceState& service) {
  if (options_.has_adaptive_placement) {
    return PlaceRead(session, service);
  }
  EndpointPool* best = nullptr;
  Duration best_cost{};
  for (const EndpointId& id : service.endpoints) {
    EndpointPool* pool = FindPool(id);
    if (pool == nullptr || !TakesNewStatements(*pool)) {
      continue;
    }
    Duration cost = pool->EstimateLatency() + GetReadPenalty(session, *pool);
    if (pool->distance == Distance::kRemote) {
      cost += session.route->latency_objective / kRemotePenaltyDivisor;
    } else if (pool->distance == Distance::kSameRegion) {
      cost += kRegionPenalty;
    }
    if (best == nullptr || cost < best_cost) {
      best = pool;
      best_cost = cost;
    }
  }
  return best;
}

template <ForwardingDialect D, class N>
Duration TrafficCore<D, N>::GetReadPenalty(const CallerSession& session,
                                           const EndpointPool& pool) {
  const TimePoint now = net_.Now();
  const ActiveStatement& statement = session.statement;
  Duration penalty{};
  if (IsPrimary(pool)) {
    penalty += kPrimaryReadPenalty;
  } else if (statement.required_point &&
             pool.IsBehind(*statement.required_point, now)) {
    penalty += kBehindPenalty;
  }
  if (pool.IsAtConnectionLimit(now)) {
    penalty += kConnectionLimitPenalty;
  }
  const auto& avoided = statement.avoided_endpoints;
  if (pool.IsBackedOff(now) || std::find(avoided.begin(), avoided.end(),
                                         pool.entry.id) != avoided.end()) {
    penalty += kFailedEndpointPenalty;
  }
  return penalty;
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_READS_H_
