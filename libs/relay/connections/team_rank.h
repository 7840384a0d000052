#ifndef MAGNOLIAREEL_RELAY_CONNECTIONS_TEAM_RANK_H_
#define MAGNOLIAREEL_RELAY_CONNECTIONS_TEAM_RANK_H_

#include <cstdint>

#include "core/core.h"

namespace magnoliareel {

/** Ranks the holders of an endpoint for a team by rendezvous hashing: all VMs
    choose the same one, and the loss of one changes only its teams.

    @param team      the team
    @param endpoint  the endpoint
    @param holder    a holder of the endpoint's connections
    @returns         its rank; the highest one is preferred
*/
uint64_t RankForTeam(const TeamId& team,
                     const EndpointId& endpoint,
                     const VmId& holder);

/** @returns a hash of a team's name; 0 for none */
uint64_t HashTeam(const TeamId& team);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CONNECTIONS_TEAM_RANK_H_
