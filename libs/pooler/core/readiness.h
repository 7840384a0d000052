#ifndef MAGNOLIAREEL_POOLER_CORE_READINESS_H_
#define MAGNOLIAREEL_POOLER_CORE_READINESS_H_

#include "core/core.h"
#include "failover/failover.h"
#include "messages/messages.h"

namespace magnoliareel {

/** The spacing of a primary's reports bounds how precisely the age of its own
    data is known. */
inline constexpr Duration kMinPrimaryAgeBound = std::chrono::milliseconds(1000);

/** @param state    what is known of the group
    @param request  a read
    @param now      the present
    @returns        whether the read's endpoint holds the session's writes and
                    its data is young enough
*/
bool IsFreshEnough(const GroupState& state,
                   const PoolerRequest& request,
                   TimePoint now);

/** @param state           what is known of the group
    @param avoids_leaving  whether a leaving primary takes no writes
    @returns               whether writes can be sent to the group's primary
*/
bool IsPrimaryReady(const GroupState& state, bool avoids_leaving);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_CORE_READINESS_H_
