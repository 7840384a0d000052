#include "failover/acknowledgement/ack_tracker.h"

#include <algorithm>
#include <utility>

namespace magnoliareel {

void AckTracker::Add(LogPoint point,
                     Term term,
                     TimePoint now,
                     TimePoint deadline,
                     Completion done) {
  pending_.emplace(point, PendingWrite{term, now, deadline, std::move(done)});
}

void AckTracker::Update(const GroupState& state) {
  FinishIf(true, [&state](LogPoint point, const PendingWrite&) {
    return state.IsHeldByMajority(point);
  });
}

void AckTracker::Expire(TimePoint now) {
  FinishIf(false, [now](LogPoint, const PendingWrite& it) {
    return it.deadline <= now;
  });
}

void AckTracker::AbandonBefore(Term term) {
  FinishIf(false,
           [term](LogPoint, const PendingWrite& it) { return it.term < term; });
}

Duration AckTracker::GetOldestAge(TimePoint now) const {
  Duration oldest{0};
  for (const auto& [point, it] : pending_) {
    oldest = std::max(oldest, now - it.added);
  }
  return oldest;
}

template <class Condition>
void AckTracker::FinishIf(bool is_acknowledged, Condition condition) {
  std::vector<Completion> finished;
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (condition(it->first, it->second)) {
      finished.push_back(std::move(it->second.done));
      it = pending_.erase(it);
    } else {
      ++it;
    }
  }
  for (const Completion& done : finished) {
    done(is_acknowledged);
  }
}

}  // namespace magnoliareel
