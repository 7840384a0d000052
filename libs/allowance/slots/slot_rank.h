#ifndef MAGNOLIAREEL_ALLOWANCE_SLOTS_SLOT_RANK_H_
#define MAGNOLIAREEL_ALLOWANCE_SLOTS_SLOT_RANK_H_

#include <cstdint>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** Ranks the slots for a team by rendezvous hashing, so that teams with few
    parts are spread over the slots, and a team with more parts keeps those that
    it had.

    @param team        the team
    @param slot_count  number of all slots
    @param count       number of parts of the team's budget
    @returns           the slots that hold the parts, best first
*/
std::vector<uint32_t> RankSlots(const TeamId& team,
                                uint32_t slot_count,
                                uint32_t count);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ALLOWANCE_SLOTS_SLOT_RANK_H_
