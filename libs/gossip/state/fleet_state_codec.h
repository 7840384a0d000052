#ifndef MAGNOLIAREEL_GOSSIP_STATE_FLEET_STATE_CODEC_H_
#define MAGNOLIAREEL_GOSSIP_STATE_FLEET_STATE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/coordination.h"

namespace magnoliareel {

/** What a VM hands to another that the store does not answer. */
struct FleetState {
  /** Row of the configuration in force, if there is one. */
  std::optional<StoredRow> config;
  /** Rows of the directory. */
  std::vector<StoredRow> endpoints;
  /** Newest version of any row of the directory. */
  uint64_t endpoints_version = 0;
};

/** @param state  any
    @returns       its encoding
    @see DecodeFleetState
*/
std::string EncodeFleetState(const FleetState& state);

/** @param bytes  from another VM
    @param out    receives the state
    @returns      false if the bytes are no such state
    @see EncodeFleetState
*/
bool DecodeFleetState(std::string_view bytes, FleetState& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_GOSSIP_STATE_FLEET_STATE_CODEC_H_
