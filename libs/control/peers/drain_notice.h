#ifndef MAGNOLIAREEL_CONTROL_PEERS_DRAIN_NOTICE_H_
#define MAGNOLIAREEL_CONTROL_PEERS_DRAIN_NOTICE_H_

#include <cstdint>

#include "core/core.h"

namespace magnoliareel {

/** Tells other VMs how long ago an endpoint reported that it is draining. A
    process that has started since can't know it otherwise. The age is known
    from a VM that received the report as soon as it was made.

    @see EndpointRegistry::RecordDrain()
*/
struct DrainNotice {
  EndpointId endpoint;
  /** Start of the endpoint that reported, in Unix milliseconds. */
  uint64_t started_at_ms = 0;
  Duration age{};

  bool operator==(const DrainNotice&) const = default;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_PEERS_DRAIN_NOTICE_H_
