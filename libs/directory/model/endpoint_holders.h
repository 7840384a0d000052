#ifndef MAGNOLIAREEL_DIRECTORY_MODEL_ENDPOINT_HOLDERS_H_
#define MAGNOLIAREEL_DIRECTORY_MODEL_ENDPOINT_HOLDERS_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "core/core.h"
#include "settings/settings.h"

namespace magnoliareel {

/** Number of VMs that hold connections to an endpoint while VMs outnumber its
    connections. Enough that one can be lost without a queue at the others, and
    few enough that each of them is used often. */
inline constexpr uint32_t kHoldersPerEndpoint = 4;
/** Connections of an endpoint that are reserved for health checks and for new
    VMs. */
inline constexpr uint32_t kReservedConnections = 2;

/** @param max_connections  number of connections that an endpoint accepts
    @param live_vms         number of live VMs
    @returns                connections that each VM may have; below 1 if VMs
                            outnumber the connections
*/
constexpr double GetConnectionsPerVm(uint32_t max_connections,
                                     uint32_t live_vms) {
  const uint32_t usable = max_connections > kReservedConnections
                              ? max_connections - kReservedConnections
                              : 1;
  return static_cast<double>(usable) / std::max(1U, live_vms);
}

/** Connections that each VM needs at an endpoint if connections belong to
    teams: with fewer, teams that take turns at a VM take each other's places.
 */
inline constexpr double kMinConnectionsPerVmForTeams = 8;

/** @param max_connections  number of connections that an endpoint accepts
    @param live_vms         number of live VMs
    @param has_teams        whether a connection serves one team only
    @returns                whether a few VMs hold the connections for all */
constexpr bool NeedsHolders(uint32_t max_connections,
                            uint32_t live_vms,
                            bool has_teams) {
  return GetConnectionsPerVm(max_connections, live_vms) <
         (has_teams ? kMinConnectionsPerVmForTeams : 1);
}

/** A VM that runs other VMs' statements at an endpoint. */
struct EndpointHolder {
  VmId vm;
  /** Address at which it accepts forwarded statements. */
  SocketAddress address;

  bool operator==(const EndpointHolder&) const = default;
};

/** How a VM reaches an endpoint whose connections VMs outnumber. */
struct EndpointHolders {
  /** This VM is a holder and uses connections of its own. */
  bool held_here = false;
  /** The other holders, and VMs that take their place if none answers, in the
      order of preference. */
  std::vector<EndpointHolder> peers;

  bool operator==(const EndpointHolders&) const = default;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DIRECTORY_MODEL_ENDPOINT_HOLDERS_H_
