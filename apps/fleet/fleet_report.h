#ifndef MAGNOLIAREEL_APPS_FLEET_FLEET_REPORT_H_
#define MAGNOLIAREEL_APPS_FLEET_FLEET_REPORT_H_

#include <optional>
#include <string>
#include <vector>

#include "gossip/gossip.h"
#include "platform/platform.h"

namespace magnoliareel {

/** A VM that is registered in the store. */
struct FleetNode {
  VmId vm;
  SocketAddress address;
  /** Status that the VM reported; none if it did not answer. */
  std::optional<NodeStatus> status;
};

/** An endpoint that is listed in the directory. */
struct FleetEndpoint {
  EndpointEntry entry;
  /** Role, term, log position and lag that the endpoint reported; none if it
      did not answer. */
  std::optional<ReplicationStatus> status;
};

/** The holder of a failover duty, as recorded in the store. */
struct FleetDuty {
  ServiceId service;
  VmId holder;
  uint64_t fencing_token = 0;
};

/** State of a deployment at the time of the report. */
struct FleetReport {
  uint64_t config_version = 0;
  std::vector<FleetNode> nodes;
  std::vector<FleetEndpoint> endpoints;
  std::vector<FleetDuty> duties;
};

/** @param report  the report to format
    @returns        the report as text tables for a terminal
*/
std::string FormatTables(const FleetReport& report);

/** @param report  the report to format
    @returns        the report as one JSON object with a final line break
*/
std::string FormatJson(const FleetReport& report);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_FLEET_FLEET_REPORT_H_
