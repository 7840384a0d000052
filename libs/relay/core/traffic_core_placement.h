#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_PLACEMENT_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_PLACEMENT_H_

// Placement of reads by measured cost, where it is active. Included by
// traffic_core.h.

#include <string>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

/** @returns the level of an endpoint at a distance from this VM */
constexpr PlacementLevel GetPlacementLevel(Distance distance) {
  switch (distance) {
    case Distance::kSameSite:
      return PlacementLevel::kSite;
    case Distance::kSameRegion:
      return PlacementLevel::kRegion;
    case Distance::kRemote:
      return PlacementLevel::kRemote;
  }
  return PlacementLevel::kRemote;
}

template <ForwardingDialect D, class N>
EndpointPool* TrafficCore<D, N>::PlaceRead(const CallerSession& session,
                                           ServiceState& service) {
  const TimePoint now = net_.Now();
  candidates_.clear();
  candidate_pools_.clear();
  for (const EndpointId& id : service.endpoints) {
    EndpointPool* pool = FindPool(id);
    if (pool == nullptr || !TakesNewStatements(*pool)) {
      continue;
    }
    candidates_.push_back({.record = &pool->record,
                           .level = GetPlacementLevel(pool->distance),
                           .running = pool->running,
                           .queued = static_cast<uint32_t>(pool->queue.size()),
                           .limit = pool->GetConcurrencyLimit(),
                           .penalty = GetReadPenalty(session, *pool)});
    candidate_pools_.push_back(pool);
  }
  if (service.read_placement.IsReviewDue(now)) {
    ReviewEjections(service);
  }
  const size_t index = service.read_placement.Choose(
      candidates_, session.route->latency_objective, now, placement_random_());
  if (index >= candidates_.size()) {
    return nullptr;
  }
  ++counters_.reads_placed[static_cast<size_t>(candidates_[index].level)];
  return candidate_pools_[index];
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::ReviewEjections(ServiceState& service) {
  for (const EjectionChange& it :
       service.read_placement.Review(candidates_, net_.Now())) {
    const EndpointPool& pool = *candidate_pools_[it.candidate];
    if (!it.is_ejected) {
      LogEvent(
          Event::kEndpointReturned,
          {{"endpoint", pool.entry.id.value},
           {"service", pool.entry.service.value},
           {"ejected_ms",
            std::to_string(pool.record.ejection.GetTime().count() / 1000)}});
      continue;
    }
    LogEvent(Event::kEndpointEjected,
             {{"endpoint", pool.entry.id.value},
              {"service", pool.entry.service.value},
              {"failed", std::to_string(it.failures)},
              {"succeeded", std::to_string(it.successes)},
              {"run_us", std::to_string(it.expected.count())},
              {"others_us", std::to_string(it.others.count())},
              {"eject_ms",
               std::to_string(pool.record.ejection.GetTime().count() / 1000)}});
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RecordPlacementReply(EndpointPool& pool,
                                             const PendingReply& reply,
                                             bool is_read) {
  if (!options_.has_adaptive_placement) {
    return;
  }
  const TimePoint now = net_.Now();
  if (!reply.error && is_read) {
    pool.record.RecordAnswered(now - reply.sent_at, now);
    return;
  }
  // Refusals because of load, freshness or the caller's own statement don't
  // show that the endpoint fails. Of the database's errors, callers cause the
  // same share at all endpoints.
  if (reply.error &&
      (MayHaveRun(*reply.error) || *reply.error == StatementError::kAborted)) {
    pool.record.RecordFailed(now);
    return;
  }
  pool.record.response.RecordProgress(now);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RecordPlacementFailure(const EndpointId& endpoint) {
  if (EndpointPool* pool = FindPool(endpoint);
      pool != nullptr && options_.has_adaptive_placement) {
    pool->record.RecordFailed(net_.Now());
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_PLACEMENT_H_
