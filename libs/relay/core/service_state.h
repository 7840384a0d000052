#ifndef MAGNOLIAREEL_RELAY_CORE_SERVICE_STATE_H_
#define MAGNOLIAREEL_RELAY_CORE_SERVICE_STATE_H_

#include <deque>
#include <vector>

#include "core/core.h"
#include "directory/directory.h"
#include "relay/connections/endpoint_pool.h"
#include "relay/freshness/freshness_bounds.h"
#include "relay/leaders/leader_belief.h"

namespace magnoliareel {

/** What the traffic core knows of one service. */
struct ServiceState {
  ServiceRules rules;
  /** Endpoints in use, ordered by id. */
  std::vector<EndpointId> endpoints;
  LeaderBelief leader;
  FreshnessBounds bounds;
  /** Statements that wait until a primary is believed in. */
  std::deque<QueuedStatement> waiting;
  /** Reads that wait until a freshness bound is known. */
  std::deque<QueuedStatement> awaiting_bound;
  /** When a bound was last asked for without a caller's statement. */
  TimePoint bounds_asked_at;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_SERVICE_STATE_H_
