#ifndef MAGNOLIAREEL_APPS_FLEET_FLEET_REPORT_H_
#define MAGNOLIAREEL_APPS_FLEET_FLEET_REPORT_H_

#include <optional>
#include <string>
#include <vector>

#include "gossip/gossip.h"
#include "platform/platform.h"

namespace magnoliareel {

/** One VM of the store's list. */
struct FleetNode {
  VmId vm;
  SocketAddress address;
  /** What it told; none if it did not answer. */
  std::optional<NodeStatus> status;
};

/** One endpoint of the directory. */
struct FleetEndpoint {
  EndpointEntry entry;
  /** What it told; none if it did not answer. */
  std::optional<ReplicationStatus> standing;
};

/** The holder of a failover duty, as the store says. */
struct FleetDuty {
  ServiceId service;
  VmId holder;
  uint64_t fencing_token = 0;
};

/** A deployment at one moment. */
struct FleetReport {
  uint64_t config_version = 0;
  std::vector<FleetNode> nodes;
  std::vector<FleetEndpoint> endpoints;
  std::vector<FleetDuty> duties;
};

/** @param report  any
    @returns        tables for a terminal
*/
std::string FormatTables(const FleetReport& report);

/** @param report  any
    @returns        one JSON object
*/
std::string FormatJson(const FleetReport& report);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_FLEET_FLEET_REPORT_H_
