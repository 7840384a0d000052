#include "control/failover/replacement_plan.h"

namespace magnoliareel {

std::optional<size_t> ChoosePromotionCandidate(
    std::span<const SurveyedEndpoint> replicas,
    const EndpointId& pending_promotion) {
  std::optional<size_t> best;
  for (size_t it = 0; it < replicas.size(); ++it) {
    if (!replicas[it].status) {
      continue;
    }
    if (replicas[it].entry.id == pending_promotion) {
      return it;
    }
    if (!replicas[it].entry.draining &&
        (!best ||
         replicas[it].status->received > replicas[*best].status->received)) {
      best = it;
    }
  }
  return best;
}

}  // namespace magnoliareel
