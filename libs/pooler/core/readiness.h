#ifndef MAGNOLIAREEL_POOLER_CORE_READINESS_H_
#define MAGNOLIAREEL_POOLER_CORE_READINESS_H_

#include "core/core.h"
#include "failover/failover.h"
#include "messages/messages.h"

namespace magnoliareel {

/** Smallest age bound that is applied to a read on the primary. The age of the
    primary's own data is known only as precisely as the interval of its reports
    allows, so a tighter bound would refuse reads on it. */
inline constexpr Duration kMinPrimaryAgeBound = std::chrono::milliseconds(1000);

/** @param state    state of the group
    @param request  a read
    @param now      current time
    @returns        whether the read's endpoint holds the session's writes and
                    its data is within the read's staleness bound
*/
bool IsFreshEnough(const GroupState& state,
                   const PoolerRequest& request,
                   TimePoint now);

/** @param state           state of the group
    @param avoids_leaving  whether a leaving primary takes no writes
    @returns               whether the group has a primary that accepts writes
*/
bool IsPrimaryReady(const GroupState& state, bool avoids_leaving);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_CORE_READINESS_H_
