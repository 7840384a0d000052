#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_OPTIONS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_OPTIONS_H_

#include <cstdint>
#include <functional>
#include <string>

#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** Log lines a second for statements that were served as usual: enough to find
    a pattern, small beside the cost of the statements. */
inline constexpr int64_t kMaxServedLogLinesPerSecond = 5;

/** What the traffic core is told at its start. */
struct TrafficOptions {
  /** Name that endpoints see as their caller. */
  std::string vm;
  /** How far a site is from this VM. */
  std::function<Distance(const SiteId&)> measure_distance;
};

/** Counts since the process's start; read by the metrics. */
struct TrafficCounters {
  uint64_t retried = 0;
  uint64_t hedged = 0;
  uint64_t connections_opened = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_OPTIONS_H_
