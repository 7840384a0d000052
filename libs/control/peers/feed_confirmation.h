#ifndef MAGNOLIAREEL_CONTROL_PEERS_FEED_CONFIRMATION_H_
#define MAGNOLIAREEL_CONTROL_PEERS_FEED_CONFIRMATION_H_

#include <cstdint>

#include "core/core.h"
#include "settings/settings.h"

namespace magnoliareel {

/** Tells other VMs that the store has just answered what changed in the
    configuration and the directory. A VM that knows as much need not ask;
    one that does not has missed a change.

    @see FleetControl
*/
struct FeedConfirmation {
  /** Address at which other VMs reach the sender. */
  SocketAddress address;
  uint64_t config_version = 0;
  /** Newest version of any row of the directory. */
  uint64_t endpoints_version = 0;
  /** Version of the store as of which the sender knows both tables. */
  uint64_t store_version = 0;
  /** Time since the sender asked the store. */
  Duration age{};

  bool operator==(const FeedConfirmation&) const = default;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_PEERS_FEED_CONFIRMATION_H_
