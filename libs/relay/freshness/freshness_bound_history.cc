#include "relay/freshness/freshness_bound_history.h"

#include <algorithm>

namespace magnoliareel {
namespace {

// Bounds nearer together than this are merged: a read then demands at most
// this much more than it must.
constexpr Duration kSpacing = std::chrono::milliseconds(40);
// Largest staleness limit that bounds are kept for; an older bound serves no
// route of the expected deployments (at most 2.5 s).
constexpr Duration kKept = std::chrono::seconds(5);

}  // namespace

void FreshnessBoundHistory::Record(TimePoint asked_at, LogPoint point) {
  if (!bounds_.empty()) {
    Bound& last = bounds_.back();
    if (asked_at <= last.asked_at || point < last.point) {
      // An answer that was overtaken, or a primary that has been replaced.
      return;
    }
    const bool dense =
        bounds_.size() > 1 &&
        asked_at - bounds_[bounds_.size() - 2].asked_at < kSpacing;
    if (dense) {
      last = {asked_at, point};
      return;
    }
  }
  bounds_.push_back({asked_at, point});
  while (bounds_.size() > 1 && asked_at - bounds_.front().asked_at > kKept) {
    bounds_.pop_front();
  }
}

void FreshnessBoundHistory::RecordFromPeer(TimePoint asked_at,
                                           const FreshnessBound& bound) {
  // The other VM took the age after the question had left here, so it asked the
  // primary no earlier than this. However long the answer was under way, the
  // bound is no younger.
  Record(asked_at - bound.age, bound.point);
}

std::optional<LogPoint> FreshnessBoundHistory::Find(
    TimePoint not_before) const {
  // Points of the newest term are preferred: replicas may have dropped the
  // uncommitted end of an older term.
  const auto it =
      std::find_if(bounds_.begin(), bounds_.end(), [&](const Bound& bound) {
        return bound.asked_at >= not_before &&
               bound.point.term == bounds_.back().point.term;
      });
  if (it == bounds_.end()) {
    return std::nullopt;
  }
  return it->point;
}

TimePoint FreshnessBoundHistory::GetNewest() const {
  return bounds_.empty() ? TimePoint{} : bounds_.back().asked_at;
}

LogPoint FreshnessBoundHistory::GetNewestLogPoint() const {
  return bounds_.empty() ? LogPoint{} : bounds_.back().point;
}

}  // namespace magnoliareel
