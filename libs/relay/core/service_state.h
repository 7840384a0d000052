#ifndef MAGNOLIAREEL_RELAY_CORE_SERVICE_STATE_H_
#define MAGNOLIAREEL_RELAY_CORE_SERVICE_STATE_H_

#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "core/core.h"
#include "directory/directory.h"
#include "placement/placement.h"
#include "relay/connections/endpoint_pool.h"
#include "relay/freshness/freshness_bound.h"
#include "relay/freshness/freshness_bound_history.h"
#include "relay/primaries/commit_hold.h"
#include "relay/primaries/commit_loss_detector.h"
#include "relay/primaries/primary_tracker.h"

namespace magnoliareel {

/** An endpoint and the time at which something was observed of it. */
struct TimedEndpoint {
  EndpointId endpoint;
  TimePoint at;
};

/** State of a service in the traffic core. */
struct ServiceState {
  ServiceRules rules;
  /** Endpoints that the directory lists, ordered by id. */
  std::vector<EndpointId> endpoints;
  PrimaryTracker primary_tracker;
  CommitLossDetector commit_losses;
  CommitHold commit_hold;
  ReadPlacement read_placement;
  /** Endpoint of the latest commit that was answered with success. */
  std::optional<TimedEndpoint> last_answered_commit;
  /** Endpoint of the latest promotion that was announced. */
  std::optional<TimedEndpoint> last_ordered_promotion;
  FreshnessBoundHistory bounds;
  /** Statements that wait until a primary is known. */
  std::deque<QueuedStatement> statements_awaiting_primary;
  /** Reads that wait until a freshness bound is known. */
  std::deque<QueuedStatement> reads_awaiting_bound;
  /** Time at which a bound was last requested from the primary without a
      caller's statement. */
  TimePoint primary_bound_requested_at;
  /** Time at which a bound was last requested from another VM. */
  TimePoint peer_bound_requested_at;
  /** Queries of other VMs that wait for a bound; each gets the next one. */
  std::vector<std::function<void(const FreshnessBound&)>> pending_bound_queries;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_SERVICE_STATE_H_
