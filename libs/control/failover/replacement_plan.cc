#include "control/failover/replacement_plan.h"

namespace magnoliareel {

std::optional<size_t> ChooseNextLeader(
    const std::vector<SurveyedEndpoint>& replicas) {
  std::optional<size_t> best;
  for (size_t it = 0; it < replicas.size(); ++it) {
    const SurveyedEndpoint& candidate = replicas[it];
    if (!candidate.standing || candidate.entry.draining) {
      continue;
    }
    if (!best ||
        candidate.standing->received > replicas[*best].standing->received) {
      best = it;
    }
  }
  return best;
}

}  // namespace magnoliareel
