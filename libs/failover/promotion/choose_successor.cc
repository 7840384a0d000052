#include "failover/promotion/choose_successor.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace magnoliareel {

std::optional<EndpointId> ChooseSuccessor(
    std::span<const TermAdoption> adoptions,
    size_t group_size,
    const EndpointId& avoid) {
  const size_t majority = group_size / 2 + 1;
  if (adoptions.size() < majority) {
    return std::nullopt;
  }
  std::vector<LogPoint> points;
  for (const TermAdoption& it : adoptions) {
    points.push_back(it.report.last);
  }
  std::sort(points.begin(), points.end(), std::greater<>());
  const LogPoint min_point =
      adoptions.size() == group_size ? points[majority - 1] : points.front();
  const TermAdoption* best = nullptr;
  const auto get_preference = [&avoid](const TermAdoption& it) {
    return std::pair(!it.report.is_leaving && it.endpoint != avoid,
                     it.report.last);
  };
  for (const TermAdoption& it : adoptions) {
    if (it.report.last >= min_point &&
        (best == nullptr || get_preference(it) > get_preference(*best))) {
      best = &it;
    }
  }
  return best->endpoint;
}

}  // namespace magnoliareel
