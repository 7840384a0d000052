#ifndef MAGNOLIAREEL_GOSSIP_STATE_NODE_STATUS_H_
#define MAGNOLIAREEL_GOSSIP_STATE_NODE_STATUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "control/control.h"
#include "core/core.h"

namespace magnoliareel {

/** A service's primary, as one node knows it. */
struct KnownPrimary {
  ServiceId service;
  EndpointId endpoint;
};

/** Status of a node for operators. */
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

/** @param status  the status
    @returns        its encoding
    @see DecodeNodeStatus
*/
std::string EncodeNodeStatus(const NodeStatus& status);

/** @param bytes  the encoding, received from a node
    @param out    receives the status
    @returns      false if the bytes are not a valid status
    @see EncodeNodeStatus
*/
bool DecodeNodeStatus(std::string_view bytes, NodeStatus& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_GOSSIP_STATE_NODE_STATUS_H_
