#ifndef MAGNOLIAREEL_CONTROL_PEERS_HEARTBEAT_H_
#define MAGNOLIAREEL_CONTROL_PEERS_HEARTBEAT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"
#include "directory/directory.h"
#include "settings/settings.h"

namespace magnoliareel {

/** A service whose failover duty a VM holds: only the holder may order
    promotions. */
struct HeldDuty {
  ServiceId service;
  uint64_t fencing_token = 0;

  bool operator==(const HeldDuty&) const = default;
};

/** Announces that the promotion of an endpoint was ordered. */
struct PromotionNotice {
  ServiceId service;
  EndpointId endpoint;
  /** Token of the order; a higher token is newer. */
  uint64_t fencing_token = 0;

  bool operator==(const PromotionNotice&) const = default;
};

/** Announces that the primary of a service is being replaced: no endpoint but
    the successor may be sent writes and commits. VMs that the holder of the
   duty has told relay its notice. */
struct ReplacementNotice {
  ServiceId service;
  /** The endpoint that becomes the primary; empty while none is chosen. */
  EndpointId successor;
  /** Token of the duty's holder; a higher token is newer. */
  uint64_t fencing_token = 0;

  bool operator==(const ReplacementNotice&) const = default;
};

/** State that VMs send each other every kHeartbeatPeriod, and at once when it
    changes. */
struct Heartbeat {
  VmId vm;
  SiteId site;
  /** Address at which other VMs reach the VM. */
  SocketAddress address;
  /** Port at the same host at which the VM accepts forwarded statements; 0 if
      it accepts none. */
  uint16_t forwarding_port = 0;
  uint64_t config_version = 0;
  uint64_t endpoints_version = 0;
  /** The VM is shutting down; other VMs may claim its duties. */
  bool leaving = false;
  /** Primaries that the VM suspects. */
  std::vector<ConditionReport> suspicions;
  std::vector<HeldDuty> duties;
  /** Promotions ordered within kPromotionNoticeRetention. */
  std::vector<PromotionNotice> promotions;
  /** Replacements of this VM from the demotion of the primary until the
      successor leads, and those of duty holders that have told this VM of an
      order. The duties tell them apart: only a holder's own have a token that
     is not newer than that of its duty. */
  std::vector<ReplacementNotice> replacements;
  /** Addresses of other VMs, sent to a VM that joins. */
  std::vector<SocketAddress> others;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_PEERS_HEARTBEAT_H_
