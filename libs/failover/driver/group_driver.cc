#include "failover/driver/group_driver.h"

#include <algorithm>

namespace magnoliareel {
namespace {

bool IsMajorityReachable(const GroupState& state) {
  const auto members = state.GetMembers();
  const auto n =
      std::count_if(members.begin(), members.end(),
                    [](const MemberState& it) { return it.is_reachable; });
  return static_cast<size_t>(n) >= state.GetMajority();
}

bool IsEligibleSuccessor(const MemberState& member,
                         const MemberState& primary) {
  return member.endpoint != primary.endpoint && member.is_reachable &&
         !member.report->is_leaving;
}

bool IsSwitchoverDue(const GroupState& state,
                     const MemberState& primary,
                     bool is_catch_up_over) {
  const auto members = state.GetMembers();
  return std::any_of(
      members.begin(), members.end(), [&](const MemberState& it) {
        return IsEligibleSuccessor(it, primary) &&
               (is_catch_up_over || it.report->last >= primary.report->last);
      });
}

void UpdateSince(std::optional<TimePoint>& since,
                 bool is_present,
                 TimePoint now) {
  if (!is_present) {
    since.reset();
  } else if (!since) {
    since = now;
  }
}

}  // namespace

bool IsFollowing(const MemberState& replica,
                 const MemberState& primary,
                 TimePoint now) {
  const EndpointReport& report = *replica.report;
  const Term term = primary.report->term;
  const bool is_aligned = report.role == EndpointRole::kReplica &&
                          report.term == term && !report.lineage.empty() &&
                          report.lineage.back().term == term;
  // A restarted replica is still aligned but does not know its primary; only
  // the lack of progress reveals it.
  const bool is_stalled =
      report.last != primary.report->last &&
      now - replica.last_advanced >= kReplicationStallTimeout;
  return is_aligned && !is_stalled;
}

std::string_view GetPromotionReasonName(PromotionReason reason) {
  switch (reason) {
    case PromotionReason::kNoPrimary:
      return "no_primary";
    case PromotionReason::kPrimaryLost:
      return "primary_lost";
    case PromotionReason::kPrimaryLeaving:
      return "primary_leaving";
    case PromotionReason::kOrdered:
      return "ordered";
  }
  return "";
}

void PromotionTriggers::Update(const GroupState& state, TimePoint now) {
  const auto primary = state.GetPrimary();
  UpdateSince(no_primary_since, !primary, now);
  UpdateSince(leaving_since,
              primary && state.Find(primary->endpoint)->report->is_leaving,
              now);
}

std::optional<PromotionReason> FindPromotionReason(
    const GroupState& state,
    const PromotionTriggers& triggers,
    const DriverTiming& timing,
    size_t rank,
    TimePoint now) {
  if (!IsMajorityReachable(state)) {
    return std::nullopt;
  }
  const Duration rank_delay = timing.rank_delay * static_cast<int64_t>(rank);
  const auto is_due = [&](std::optional<TimePoint> since, Duration delay) {
    return since && now - *since >= delay + rank_delay;
  };
  const auto primary = state.GetPrimary();
  if (!primary) {
    return is_due(triggers.no_primary_since, timing.no_primary_timeout)
               ? std::optional(PromotionReason::kNoPrimary)
               : std::nullopt;
  }
  const MemberState& primary_state = *state.Find(primary->endpoint);
  if (!primary_state.is_reachable &&
      is_due(primary_state.last_heard, timing.suspect_timeout)) {
    return PromotionReason::kPrimaryLost;
  }
  if (primary_state.is_reachable &&
      is_due(triggers.leaving_since, Duration::zero()) &&
      IsSwitchoverDue(
          state, primary_state,
          is_due(triggers.leaving_since, timing.catch_up_timeout))) {
    return PromotionReason::kPrimaryLeaving;
  }
  return std::nullopt;
}

}  // namespace magnoliareel
