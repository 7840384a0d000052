#include "routing/reads/rank_read_endpoints.h"

#include <algorithm>
#include <tuple>

namespace magnoliareel {
namespace {

struct RankedEndpoint {
  bool is_primary = false;
  bool may_lack_point = false;
  bool is_remote = false;
  uint64_t tie_breaker = 0;
  const EndpointConfig* config = nullptr;

  auto GetSortKey() const {
    return std::tie(is_primary, may_lack_point, is_remote, tie_breaker);
  }
};

bool IsKnownToHold(const EndpointId& endpoint,
                   const RouteHints& hints,
                   const ReadRequirements& requirements) {
  const auto& holders = requirements.holders;
  return hints.GetKnownPoint(endpoint) >= requirements.required ||
         std::find(holders.begin(), holders.end(), endpoint) != holders.end();
}

}  // namespace

std::vector<EndpointId> ReplicasFirst::Rank(
    const GroupConfig& group,
    const RouteHints& hints,
    const ReadRequirements& requirements,
    ProcessRandom& random) const {
  std::vector<RankedEndpoint> ranked;
  ranked.reserve(group.endpoints.size());
  for (const EndpointConfig& config : group.endpoints) {
    ranked.push_back({config.endpoint == requirements.primary,
                      !IsKnownToHold(config.endpoint, hints, requirements),
                      config.site != requirements.site, random(), &config});
  }
  // Only the primary can serve data of age zero.
  const bool is_primary_first =
      requirements.max_age && *requirements.max_age == Duration::zero();
  std::sort(ranked.begin(), ranked.end(),
            [is_primary_first](const RankedEndpoint& left,
                               const RankedEndpoint& right) {
              if (is_primary_first && left.is_primary != right.is_primary) {
                return left.is_primary;
              }
              return left.GetSortKey() < right.GetSortKey();
            });
  std::vector<EndpointId> order;
  order.reserve(ranked.size());
  for (const RankedEndpoint& endpoint : ranked) {
    order.push_back(endpoint.config->endpoint);
  }
  return order;
}

std::vector<EndpointId> PrimaryOnly::Rank(const GroupConfig& group,
                                          const RouteHints& /*hints*/,
                                          const ReadRequirements& requirements,
                                          ProcessRandom& /*random*/) const {
  return {requirements.primary.IsEmpty() ? group.endpoints.front().endpoint
                                         : requirements.primary};
}

}  // namespace magnoliareel
