#ifndef MAGNOLIAREEL_ALLOWANCE_BUDGET_TEAM_BUDGET_H_
#define MAGNOLIAREEL_ALLOWANCE_BUDGET_TEAM_BUDGET_H_

#include <cstdint>

#include "allowance/budget/token_bucket.h"
#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** Lifetime of a borrowed permit, from its request. It may be used that much
    later than it was taken from the lender's bucket. */
inline constexpr Duration kPermitLifetime = std::chrono::milliseconds(500);
/** Depth that a part of a budget should have: a part below one permit could
    never issue one. */
inline constexpr double kMinPartDepth = 8;

/** Computes the token bucket that keeps a team within the operators' bound in
    any window, including borrowed permits that are used late.

    @param limit   the team's limit
    @param window  the operators' window and tolerance
    @returns       rate and depth, across all VMs; the depth is at least 1
*/
BucketRules ComputeTeamBudget(const TeamLimit& limit,
                              const AllowanceWindow& window);

/** @param budget      a team's budget
    @param slot_count  number of all slots
    @returns           the number of slots among which it is divided. Depends on
                       the budget only, so that VMs with the same configuration
                       agree without messages */
uint32_t CountParts(const BucketRules& budget, uint32_t slot_count);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ALLOWANCE_BUDGET_TEAM_BUDGET_H_
