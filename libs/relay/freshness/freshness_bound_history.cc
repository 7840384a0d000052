#include "relay/freshness/freshness_bound_history.h"

#include <algorithm>

namespace magnoliareel {
namespace {

// Bounds closer together than this are merged: a read then requires a log point
// that is newer than necessary by at most this time.
constexpr Duration kMinBoundSpacing = std::chrono::milliseconds(40);
// Time for which bounds are kept. No route of the expected deployments
// tolerates more than 2.5 s of staleness.
constexpr Duration kBoundRetention = std::chrono::seconds(5);

}  // namespace

void FreshnessBoundHistory::Record(TimePoint requested_at, LogPoint point) {
  if (!bounds_.empty()) {
    Bound& last = bounds_.back();
    if (requested_at <= last.requested_at || point < last.point) {
      // A late reply, or a reply from a primary that has been replaced.
      return;
    }
    const bool dense = bounds_.size() > 1 &&
                       requested_at - bounds_[bounds_.size() - 2].requested_at <
                           kMinBoundSpacing;
    if (dense) {
      last = {requested_at, point};
      return;
    }
  }
  bounds_.push_back({requested_at, point});
  while (bounds_.size() > 1 &&
         requested_at - bounds_.front().requested_at > kBoundRetention) {
    bounds_.pop_front();
  }
}

void FreshnessBoundHistory::RecordFromPeer(TimePoint requested_at,
                                           const FreshnessBound& bound) {
  // The other VM computed the age after this VM had sent the query, so it
  // queried the primary no earlier than the time recorded here. However long
  // the messages travelled, the bound is not dated too late.
  Record(requested_at - bound.age, bound.point);
}

std::optional<LogPoint> FreshnessBoundHistory::Find(
    TimePoint not_before) const {
  // Only points of the newest term are used: replicas may have discarded the
  // uncommitted end of an older term.
  const auto it =
      std::find_if(bounds_.begin(), bounds_.end(), [&](const Bound& bound) {
        return bound.requested_at >= not_before &&
               bound.point.term == bounds_.back().point.term;
      });
  if (it == bounds_.end()) {
    return std::nullopt;
  }
  return it->point;
}

TimePoint FreshnessBoundHistory::GetNewestRequestTime() const {
  return bounds_.empty() ? TimePoint{} : bounds_.back().requested_at;
}

LogPoint FreshnessBoundHistory::GetNewestLogPoint() const {
  return bounds_.empty() ? LogPoint{} : bounds_.back().point;
}

}  // namespace magnoliareel
