#ifndef MAGNOLIAREEL_DIRECTORY_MODEL_ENDPOINT_ENTRY_H_
#define MAGNOLIAREEL_DIRECTORY_MODEL_ENDPOINT_ENTRY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/core.h"
#include "settings/settings.h"

namespace magnoliareel {

/** An endpoint's own entry in the platform's directory. */
struct EndpointEntry {
  EndpointId id;
  ServiceId service;
  SocketAddress address;
  SiteId site;
  /** Number of statements that the endpoint runs concurrently. */
  uint32_t slots = 0;
  /** The endpoint will stop soon and takes no new work. */
  bool draining = false;
  /** Earliest time at which the endpoint can have reported that it is draining;
      none while nothing bounds it, as in a process that has started since. Set
      by EndpointRegistry. */
  std::optional<TimePoint> draining_since;
  /** A VM received the report as soon as it was made, at draining_since. */
  bool is_drain_time_exact = false;
  /** The endpoint reports that it is its service's primary. */
  bool claims_primary = false;
  /** Start time in Unix milliseconds; distinguishes restarts of one endpoint.
   */
  int64_t started_at_ms = 0;
  /** Number of this report since that start; none if the endpoint does not
      count them. */
  std::optional<uint64_t> report_number;

  bool operator==(const EndpointEntry&) const = default;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DIRECTORY_MODEL_ENDPOINT_ENTRY_H_
