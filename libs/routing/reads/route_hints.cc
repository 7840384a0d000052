#include "routing/reads/route_hints.h"

namespace magnoliareel {

std::optional<PrimaryHint> RouteHints::GetPrimary(const GroupId& group) const {
  const auto it = primaries_.find(group);
  return it == primaries_.end() ? std::nullopt : std::optional(it->second);
}

LogPoint RouteHints::GetKnownPoint(const EndpointId& endpoint) const {
  const auto it = points_.find(endpoint);
  return it == points_.end() ? LogPoint{} : it->second;
}

bool RouteHints::RecordPrimary(const GroupId& group, const PrimaryHint& hint) {
  PrimaryHint& known = primaries_[group];
  if (hint.term < known.term || hint == known) {
    return false;
  }
  known = hint;
  return true;
}

bool RouteHints::RecordHolders(std::span<const EndpointId> endpoints,
                               LogPoint point) {
  bool is_changed = false;
  for (const EndpointId& endpoint : endpoints) {
    LogPoint& known = points_[endpoint];
    if (known < point) {
      known = point;
      is_changed = true;
    }
  }
  return is_changed;
}

}  // namespace magnoliareel
