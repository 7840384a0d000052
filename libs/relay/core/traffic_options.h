#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_OPTIONS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_OPTIONS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "budget/budget.h"
#include "core/core.h"
#include "directory/directory.h"
#include "placement/placement.h"

namespace magnoliareel {

/** Maximum log lines per second for statements that were served at the first
    attempt: enough to find a pattern, cheap compared with the statements. */
inline constexpr int64_t kMaxServedLogLinesPerSecond = 5;

/** Options of the traffic core. */
struct TrafficOptions {
  /** Name of this VM, which endpoints see as their client. */
  std::string vm;
  /** Returns the distance of a site from this VM. */
  std::function<Distance(const SiteId&)> measure_distance;
  /** Longest time for which a draining primary that has no successor gets new
      statements. @see GetMaxDrainingUse */
  Duration max_draining_use = std::chrono::seconds(5);
  /** How the operators count the operations of a team that has a limit. */
  AllowanceWindow allowance_window = {};
  /** Number of the first request for permits, which no earlier process of this
      VM is likely to have used. */
  uint64_t first_permit_sequence = 1;
  /** Parts of the memory that sessions and statements may use. */
  MemoryShares memory;
  /** Chooses endpoints for reads by measured cost. @see ReadPlacement */
  bool has_adaptive_placement = false;
};

/** What the tables of prepared statements hold. */
struct PreparedTotals {
  size_t names = 0;
  size_t shape_bytes = 0;
};

/** Counters since the start of the process, for the metrics. */
struct TrafficCounters {
  uint64_t retried = 0;
  uint64_t hedged = 0;
  uint64_t connections_opened = 0;
  /** Statements sent to holders, and statements run for other VMs. */
  uint64_t forwarded = 0;
  uint64_t run_for_peers = 0;
  /** Failures of holders that this VM has observed. */
  uint64_t holder_failures = 0;
  /** Connections that an endpoint refused because of its connection limit. */
  uint64_t connections_refused = 0;
  /** Statements that an endpoint refused because its slots and queue were
      full. */
  uint64_t refused_busy = 0;
  /** Changes of a primary after which the log lacked a commit that this VM had
      answered. */
  uint64_t commit_losses = 0;
  /** Statements that waited for the successor of a primary, or were not run,
      because the primary was being replaced. */
  uint64_t commits_held = 0;
  /** PREPAREs that an endpoint refused. */
  uint64_t prepares_refused = 0;
  /** Names of prepared statements that were given up. */
  uint64_t prepares_deallocated = 0;
  /** Changes of session values that an endpoint refused. */
  uint64_t values_refused = 0;
  /** Executions that an endpoint refused because it did not know a name that it
      had prepared. */
  uint64_t unknown_names = 0;
  /** Sessions that were refused or ended because no team has their key. */
  uint64_t callers_unauthorized = 0;
  /** Idle connections that were closed so that one could be opened for another
      team. */
  uint64_t connections_evicted = 0;
  /** Statements refused because there was no permit for their team. */
  uint64_t refused_without_permit = 0;
  /** Reads for which an endpoint of a level was chosen, nearest first. */
  std::array<uint64_t, kPlacementLevelCount> reads_placed{};
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_OPTIONS_H_
