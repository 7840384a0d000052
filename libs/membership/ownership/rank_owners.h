#ifndef MAGNOLIAREEL_MEMBERSHIP_OWNERSHIP_RANK_OWNERS_H_
#define MAGNOLIAREEL_MEMBERSHIP_OWNERSHIP_RANK_OWNERS_H_

#include <span>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** Ranks VMs for one endpoint or group by rendezvous hashing. VMs of the
    preferred site come first; leaving VMs are excluded.

    All VMs with the same list compute the same ranks, and adding or removing a
    VM reassigns only the endpoints and groups of that VM.

    @param vms    the VMs in use
    @param site   site of the endpoint; empty if no site is preferred
    @param name   name of the endpoint or group
    @param count  maximum number of ranks
    @returns      up to `count` VMs, the owner first
*/
std::vector<VmId> RankOwners(std::span<const VmEntry> vms,
                             const SiteId& site,
                             std::string_view name,
                             size_t count);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MEMBERSHIP_OWNERSHIP_RANK_OWNERS_H_
