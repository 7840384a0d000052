#include "relay/freshness/freshness_bound_history.h"

#include <algorithm>

namespace magnoliareel {
namespace {

// Bounds nearer together than this are merged: a read then demands at most
// this much more than it must.
constexpr Duration kMinBoundSpacing = std::chrono::milliseconds(40);
// Largest staleness limit that bounds are kept for; an older bound serves no
// route of the expected deployments (at most 2.5 s).
constexpr Duration kBoundRetention = std::chrono::seconds(5);

}  // namespace

void FreshnessBoundHistory::Record(TimePoint requested_at, LogPoint point) {
  if (!bounds_.empty()) {
    Bound& last = bounds_.back();
    if (requested_at <= last.requested_at || point < last.point) {
      // An answer that was overtaken, or a primary that has been replaced.
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
  // The other VM took the age after the question had left here, so it asked the
  // primary no earlier than this. However long the answer was under way, the
  // bound is no younger.
  Record(requested_at - bound.age, bound.point);
}

std::optional<LogPoint> FreshnessBoundHistory::Find(
    TimePoint not_before) const {
  // Points of the newest term are preferred: replicas may have dropped the
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

TimePoint FreshnessBoundHistory::GetNewest() const {
  return bounds_.empty() ? TimePoint{} : bounds_.back().requested_at;
}

LogPoint FreshnessBoundHistory::GetNewestLogPoint() const {
  return bounds_.empty() ? LogPoint{} : bounds_.back().point;
}

}  // namespace magnoliareel
