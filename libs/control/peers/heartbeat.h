#ifndef MAGNOLIAREEL_CONTROL_PEERS_HEARTBEAT_H_
#define MAGNOLIAREEL_CONTROL_PEERS_HEARTBEAT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"
#include "directory/directory.h"
#include "settings/settings.h"

namespace magnoliareel {

/** A duty that a VM holds. */
struct HeldDuty {
  ServiceId service;
  uint64_t fencing_token = 0;

  bool operator==(const HeldDuty&) const = default;
};

/** An endpoint that was ordered to lead. */
struct PromotionNotice {
  ServiceId service;
  EndpointId endpoint;
  /** Of the order; a higher one is newer. */
  uint64_t fencing_token = 0;

  bool operator==(const PromotionNotice&) const = default;
};

/** What VMs tell each other every second, and at once when it changes. */
struct Heartbeat {
  VmId vm;
  SiteId site;
  /** Where the VM is reached by other VMs. */
  SocketAddress address;
  uint64_t config_version = 0;
  uint64_t endpoints_version = 0;
  /** The VM stops; its duties are free. */
  bool leaving = false;
  /** Primaries that the VM finds in trouble. */
  std::vector<ConditionReport> suspicions;
  std::vector<HeldDuty> duties;
  /** Promotions ordered within the last seconds. */
  std::vector<PromotionNotice> promotions;
  /** Other VMs, as an answer to one that joins. */
  std::vector<SocketAddress> others;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_PEERS_HEARTBEAT_H_
