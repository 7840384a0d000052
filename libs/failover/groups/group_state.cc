#include "failover/groups/group_state.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <tuple>
#include <utility>

namespace magnoliareel {
namespace {

constexpr size_t kMaxObservations = 256;
constexpr Duration kMinObservationInterval = std::chrono::milliseconds(20);

/** Returns whether the reporting endpoint's log is aligned with the term of
    `point` and reaches `point`. A log is aligned with a term if the primary of
    that term has extended it. */
bool IsHeldInAlignedLog(const EndpointReport& report, LogPoint point) {
  return !report.lineage.empty() && report.lineage.back().term == point.term &&
         report.last.position >= point.position;
}

/** Returns whether a log with this lineage contains the record at `point`: logs
    agree up to the end of each term that they share. */
bool IsOnLineage(const Lineage& lineage, LogPoint point) {
  const auto it = std::find_if(
      lineage.begin(), lineage.end(),
      [point](const TermStart& entry) { return entry.term == point.term; });
  if (it == lineage.end()) {
    return point == LogPoint{};
  }
  return it + 1 == lineage.end() || point.position <= (it + 1)->start;
}

}  // namespace

GroupState::GroupState(std::span<const EndpointId> endpoints) {
  for (const EndpointId& it : endpoints) {
    members_.push_back(MemberState{it, std::nullopt, {}, {}, {}, false});
  }
}

void GroupState::RecordReport(const EndpointId& endpoint,
                              const EndpointReport& report,
                              TimePoint request_time,
                              TimePoint answer_time) {
  MemberState* it = FindMember(endpoint);
  assert(it != nullptr);
  it->is_reachable = true;
  it->last_heard = answer_time;
  // Answers to overlapping calls may arrive out of order.
  if (it->report && request_time < it->request_time &&
      std::tie(report.term, report.last) <
          std::tie(it->report->term, it->report->last)) {
    return;
  }
  if (!it->report || it->report->last != report.last) {
    it->last_advanced = answer_time;
  }
  it->report = report;
  it->request_time = request_time;
  RecordPrimaryObservation();
}

void GroupState::RecordMiss(const EndpointId& endpoint) {
  MemberState* it = FindMember(endpoint);
  assert(it != nullptr);
  it->is_reachable = false;
}

std::optional<PrimaryView> GroupState::GetPrimary() const {
  const Term highest = GetHighestTerm();
  for (const MemberState& it : members_) {
    if (it.report && it.report->role == EndpointRole::kPrimary &&
        it.report->term == highest) {
      return PrimaryView{it.endpoint, highest};
    }
  }
  return std::nullopt;
}

Term GroupState::GetHighestTerm() const {
  Term highest;
  for (const MemberState& it : members_) {
    if (it.report) {
      highest = std::max(highest, it.report->term);
    }
  }
  return highest;
}

bool GroupState::IsHeldByMajority(LogPoint point) const {
  if (point == LogPoint{}) {
    return true;
  }
  const auto primary = GetPrimary();
  if (primary && primary->term > point.term) {
    const Lineage& lineage = Find(primary->endpoint)->report->lineage;
    if (!IsOnLineage(lineage, point)) {
      return false;
    }
    point = {primary->term, {lineage.back().start.value + 1}};
  }
  const auto n = std::count_if(
      members_.begin(), members_.end(), [point](const MemberState& it) {
        return it.report && IsHeldInAlignedLog(*it.report, point);
      });
  return static_cast<size_t>(n) >= GetMajority();
}

std::vector<EndpointId> GroupState::ListHolders(LogPoint point) const {
  std::vector<EndpointId> holders;
  for (const MemberState& it : members_) {
    if (it.report &&
        ContainsPoint(it.report->lineage, it.report->last.position, point)) {
      holders.push_back(it.endpoint);
    }
  }
  return holders;
}

std::optional<Duration> GroupState::BoundAge(const EndpointId& endpoint,
                                             TimePoint now) const {
  const auto primary = GetPrimary();
  const MemberState* member = Find(endpoint);
  if (!primary || member == nullptr || !member->report) {
    return std::nullopt;
  }
  const EndpointReport& report = *member->report;
  const bool is_aligned =
      !report.lineage.empty() && report.lineage.back().term == primary->term;
  if (!is_aligned || observed_term_ != primary->term) {
    return std::nullopt;
  }
  return magnoliareel::BoundAge(
      std::vector(observations_.begin(), observations_.end()),
      report.last.position, now);
}

const MemberState* GroupState::Find(const EndpointId& endpoint) const {
  const auto it = std::find_if(
      members_.begin(), members_.end(),
      [&](const MemberState& m) { return m.endpoint == endpoint; });
  return it == members_.end() ? nullptr : &*it;
}

MemberState* GroupState::FindMember(const EndpointId& endpoint) {
  return const_cast<MemberState*>(std::as_const(*this).Find(endpoint));
}

void GroupState::RecordPrimaryObservation() {
  const auto primary = GetPrimary();
  if (!primary) {
    return;
  }
  if (observed_term_ != primary->term) {
    observations_.clear();
    observed_term_ = primary->term;
  }
  // An endpoint is known to have been the primary at a moment only if a
  // majority had not adopted a higher term by then. The moment is therefore the
  // oldest request time among the majority with the latest requests.
  std::vector<TimePoint> request_times;
  for (const MemberState& it : members_) {
    if (it.report && it.report->term <= primary->term) {
      request_times.push_back(it.request_time);
    }
  }
  if (request_times.size() < GetMajority()) {
    return;
  }
  std::sort(request_times.begin(), request_times.end(), std::greater<>());
  const MemberState& member = *Find(primary->endpoint);
  const TimePoint sent =
      std::min(member.request_time, request_times[GetMajority() - 1]);
  const PrimaryObservation observation{sent, member.report->last.position};
  if (observations_.size() > 1 &&
      observation.sent - observations_[observations_.size() - 2].sent <
          kMinObservationInterval) {
    observations_.back() = observation;
    return;
  }
  observations_.push_back(observation);
  if (observations_.size() > kMaxObservations) {
    observations_.pop_front();
  }
}

}  // namespace magnoliareel
