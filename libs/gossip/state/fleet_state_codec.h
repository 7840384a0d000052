#ifndef MAGNOLIAREEL_GOSSIP_STATE_FLEET_STATE_CODEC_H_
#define MAGNOLIAREEL_GOSSIP_STATE_FLEET_STATE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/coordination.h"

namespace magnoliareel {

/** State that a VM sends to a peer whose configuration or directory is older,
    such as one that cannot reach the store. */
struct FleetState {
  /** Row of the configuration in force; none if there is no configuration. */
  std::optional<StoredRow> config;
  /** Rows of the directory. */
  std::vector<StoredRow> endpoints;
  /** Newest version of any row of the directory. */
  uint64_t endpoints_version = 0;
};

/** @param state  the state
    @returns       its encoding
    @see DecodeFleetState
*/
std::string EncodeFleetState(const FleetState& state);

/** @param bytes  the encoding, received from another VM
    @param out    receives the state
    @returns      false if the bytes are not a valid state
    @see EncodeFleetState
*/
bool DecodeFleetState(std::string_view bytes, FleetState& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_GOSSIP_STATE_FLEET_STATE_CODEC_H_
