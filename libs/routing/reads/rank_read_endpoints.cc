#include "routing/reads/rank_read_endpoints.h"

#include <algorithm>
#include <tuple>

namespace magnoliareel {
namespace {

struct RankedEndpoint {
  bool is_primary = false;
  bool is_unproven = false;
  bool is_remote = false;
  uint64_t tie_breaker = 0;
  const EndpointConfig* shape = nullptr;

  auto AsKey() const {
    return std::tie(is_primary, is_unproven, is_remote, tie_breaker);
  }
};

bool IsKnownToHold(const EndpointId& endpoint,
                   const RouteHints& hints,
                   const ReadNeeds& needs) {
  const auto& holders = needs.holders;
  return hints.GetPoint(endpoint) >= needs.required ||
         std::find(holders.begin(), holders.end(), endpoint) != holders.end();
}

}  // namespace

std::vector<EndpointId> ReplicasFirst::Rank(const GroupConfig& group,
                                            const RouteHints& hints,
                                            const ReadNeeds& needs,
                                            ProcessRandom& random) const {
  std::vector<RankedEndpoint> ranked;
  ranked.reserve(group.endpoints.size());
  for (const EndpointConfig& it : group.endpoints) {
    ranked.push_back({it.endpoint == needs.primary,
                      !IsKnownToHold(it.endpoint, hints, needs),
                      it.site != needs.site, random(), &it});
  }
  // An age of zero is met by the primary alone.
  const bool is_primary_first =
      needs.max_age && *needs.max_age == Duration::zero();
  std::sort(ranked.begin(), ranked.end(),
            [is_primary_first](const RankedEndpoint& left,
                               const RankedEndpoint& right) {
              if (is_primary_first && left.is_primary != right.is_primary) {
                return left.is_primary;
              }
              return left.AsKey() < right.AsKey();
            });
  std::vector<EndpointId> order;
  order.reserve(ranked.size());
  for (const RankedEndpoint& it : ranked) {
    order.push_back(it.shape->endpoint);
  }
  return order;
}

std::vector<EndpointId> PrimaryOnly::Rank(const GroupConfig& group,
                                          const RouteHints& /*hints*/,
                                          const ReadNeeds& needs,
                                          ProcessRandom& /*random*/) const {
  return {needs.primary.IsEmpty() ? group.endpoints.front().endpoint
                                  : needs.primary};
}

}  // namespace magnoliareel
