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

/** What one node is told at its start. */
struct NodeSettings {
  VmId vm;
  SiteId site;
  /** Region of every site. */
  std::map<SiteId, std::string> regions;
  /** Where callers connect. */
  SocketAddress caller_address;
  /** Where the platform asks whether the node takes new connections. */
  SocketAddress probe_address;
  /** Where other nodes reach this one, by TCP and UDP. */
  SocketAddress peer_address;
  /** Peers to ask while the store is away; may be stale. */
  std::vector<SocketAddress> seeds;
  /** The platform's store. */
  SocketAddress store_address;
  /** Where promotions are ordered. */
  SocketAddress promotion_address;
  /** Where metrics are served; port 0 serves none. */
  SocketAddress metrics_address;
  /** How often endpoints write to the directory. */
  Duration endpoint_heartbeat = std::chrono::milliseconds(1200);
  /** From SIGTERM until the process is killed. */
  Duration stop_grace = std::chrono::seconds(6);

  /** @param other  any site
      @returns       how far it is from this VM
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
