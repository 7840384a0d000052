#ifndef MAGNOLIAREEL_CONTROL_SETTINGS_NODE_SETTINGS_H_
#define MAGNOLIAREEL_CONTROL_SETTINGS_NODE_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/core.h"
#include "directory/directory.h"
#include "settings/settings.h"

namespace magnoliareel {

/** Memory limit of a node whose settings name none. */
inline constexpr uint64_t kDefaultMemoryLimitBytes = 256 * 1024 * 1024;

/** Configuration that a node reads at its start. */
struct NodeSettings {
  VmId vm;
  SiteId site;
  /** Region of every site. */
  std::map<SiteId, std::string> regions;
  /** Listening address for callers. */
  SocketAddress caller_address;
  /** Listening address for the platform's readiness probe. */
  SocketAddress probe_address;
  /** Address at which other nodes reach this node, TCP and UDP. */
  SocketAddress peer_address;
  /** Address at which other nodes forward statements; port 0 if the platform
      gives no port for it. */
  SocketAddress forwarding_address;
  /** Peers to contact while the store is unavailable; may be out of date. */
  std::vector<SocketAddress> seeds;
  /** Address of the platform's store. */
  SocketAddress store_address;
  /** Address of the platform service that executes promotions. */
  SocketAddress promotion_address;
  /** Listening address for metrics; port 0 disables them. */
  SocketAddress metrics_address;
  /** Interval at which endpoints write to the directory. */
  Duration endpoint_heartbeat = std::chrono::milliseconds(1200);
  /** Time for which an endpoint serves after it has reported that it is
      draining. */
  Duration endpoint_drain_period = std::chrono::seconds(7);
  /** Time from SIGTERM until the platform kills the process. */
  Duration stop_grace = std::chrono::seconds(6);
  /** Memory that the process may use. */
  uint64_t memory_limit_bytes = kDefaultMemoryLimitBytes;
  /** File descriptors that the process may use; 0 if the platform names no
      limit. */
  uint32_t max_descriptors = 0;
  /** How the operations of a team are counted. */
  AllowanceWindow allowance_window;
  /** Refuses and orders statements by team and by expected wait. */
  bool has_admission_control = false;
  /** Chooses endpoints for reads by measured cost. */
  bool has_adaptive_placement = false;

  /** @param other  the site to compare with
      @returns       its distance from this VM's site
  */
  Distance MeasureDistance(const SiteId& other) const {
    if (other == site) {
      return Distance::kSameSite;
    }
    const auto here = regions.find(site);
    const auto there = regions.find(other);
    const bool near = here != regions.end() && there != regions.end() &&
                      here->second == there->second;
    return near ? Distance::kSameRegion : Distance::kRemote;
  }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_SETTINGS_NODE_SETTINGS_H_
