#include "pooler/core/readiness.h"

#include <algorithm>

#include "session/session.h"

namespace magnoliareel {

bool IsFreshEnough(const GroupState& state,
                   const PoolerRequest& request,
                   TimePoint now) {
  const MemberState* member = state.Find(request.endpoint);
  if (!member->report) {
    return false;
  }
  const EndpointReport& report = *member->report;
  if (!ContainsPoint(report.lineage, report.last.position, request.required)) {
    return false;
  }
  if (!request.max_age) {
    return true;
  }
  const bool is_primary = report.role == EndpointRole::kPrimary;
  const Duration limit = is_primary
                             ? std::max(*request.max_age, kMinPrimaryAgeBound)
                             : *request.max_age;
  const auto age = state.BoundAge(request.endpoint, now);
  return age && *age <= limit;
}

bool IsPrimaryReady(const GroupState& state, bool avoids_leaving) {
  const auto primary = state.GetPrimary();
  if (!primary) {
    return false;
  }
  const MemberState* member = state.Find(primary->endpoint);
  return member->is_reachable &&
         !(avoids_leaving && member->report->is_leaving);
}

}  // namespace magnoliareel
