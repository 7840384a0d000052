#include "failover/acknowledgement/ack_tracker.h"

#include <algorithm>
#include <utility>

namespace magnoliareel {

void AckTracker::Add(LogPoint point,
                     Term ran_in,
                     TimePoint now,
                     TimePoint deadline,
                     Completion done) {
  waiting_.emplace(point, Waiting{ran_in, now, deadline, std::move(done)});
}

void AckTracker::Update(const GroupState& state) {
  FinishIf(true, [&state](LogPoint point, const Waiting&) {
    return state.IsHeldByMajority(point);
  });
}

void AckTracker::Expire(TimePoint now) {
  FinishIf(false,
           [now](LogPoint, const Waiting& it) { return it.deadline <= now; });
}

void AckTracker::AbandonBefore(Term term) {
  FinishIf(false,
           [term](LogPoint, const Waiting& it) { return it.ran_in < term; });
}

Duration AckTracker::GetOldestAge(TimePoint now) const {
  Duration oldest{0};
  for (const auto& [point, it] : waiting_) {
    oldest = std::max(oldest, now - it.added);
  }
  return oldest;
}

template <class Condition>
void AckTracker::FinishIf(bool is_acknowledged, Condition condition) {
  std::vector<Completion> finished;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (condition(it->first, it->second)) {
      finished.push_back(std::move(it->second.done));
      it = waiting_.erase(it);
    } else {
      ++it;
    }
  }
  for (const Completion& done : finished) {
    done(is_acknowledged);
  }
}

}  // namespace magnoliareel
