#include "control/failover/replacement_plan.h"

#include <utility>

namespace magnoliareel {

std::optional<size_t> ChoosePromotionCandidate(
    std::span<const SurveyedEndpoint> replicas,
    const EndpointId& preferred) {
  std::optional<size_t> best;
  const auto rank = [&](size_t index) {
    return std::pair(replicas[index].status->received,
                     replicas[index].entry.id == preferred);
  };
  for (size_t it = 0; it < replicas.size(); ++it) {
    if (!replicas[it].status || replicas[it].entry.draining) {
      continue;
    }
    if (!best || rank(it) > rank(*best)) {
      best = it;
    }
  }
  return best;
}

}  // namespace magnoliareel
