#include "allowance/budget/team_budget.h"

#include <algorithm>

namespace magnoliareel {

BucketRules ComputeTeamBudget(const TeamLimit& limit,
                              const AllowanceWindow& window) {
  const double seconds = std::chrono::duration<double>(window.window).count();
  const double late = std::chrono::duration<double>(kPermitLifetime).count();
  const double bound =
      (limit.rate_per_s * seconds + limit.burst) * (1 + window.overage) +
      window.slack;
  BucketRules budget;
  budget.rate_per_s = limit.rate_per_s;
  budget.depth = bound - limit.rate_per_s * (seconds + late);
  if (budget.depth < 1) {
    // The bound leaves no room for the burst: the rate makes way.
    budget.depth = 1;
    budget.rate_per_s = std::max(0.0, (bound - 1) / (seconds + late));
  }
  return budget;
}

uint32_t CountParts(const BucketRules& budget, uint32_t slot_count) {
  const double parts = budget.depth / kMinPartDepth;
  return parts >= slot_count ? std::max(1U, slot_count)
                             : std::max(1U, static_cast<uint32_t>(parts));
}

}  // namespace magnoliareel
