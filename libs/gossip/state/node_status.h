#ifndef MAGNOLIAREEL_GOSSIP_STATE_NODE_STATUS_H_
#define MAGNOLIAREEL_GOSSIP_STATE_NODE_STATUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "control/control.h"
#include "core/core.h"

namespace magnoliareel {

/** A service's primary, as one node believes. */
struct KnownPrimary {
  ServiceId service;
  EndpointId endpoint;
};

/** What a node tells operators of itself. */
struct NodeStatus {
  VmId vm;
  SiteId site;
  bool ready = false;
  bool store_connected = false;
  uint64_t config_version = 0;
  uint64_t directory_version = 0;
  uint32_t live_vms = 0;
  uint64_t sessions = 0;
  std::vector<HeldDuty> duties;
  std::vector<KnownPrimary> primaries;
};

/** @param status  any
    @returns        its encoding
    @see DecodeNodeStatus
*/
std::string EncodeNodeStatus(const NodeStatus& status);

/** @param bytes  from a node
    @param out    receives the status
    @returns      false if the bytes are no such status
    @see EncodeNodeStatus
*/
bool DecodeNodeStatus(std::string_view bytes, NodeStatus& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_GOSSIP_STATE_NODE_STATUS_H_
