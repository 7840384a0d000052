#include "entry/state/pooler_liveness_table.h"

namespace magnoliareel {

void PoolerLivenessTable::RecordAnswer(const std::string& address,
                                       TimePoint now) {
  const std::lock_guard lock(mutex_);
  entries_[address] = Entry{now, TimePoint::min()};
}

void PoolerLivenessTable::RecordMissedPing(const std::string& address,
                                           TimePoint now) {
  const std::lock_guard lock(mutex_);
  entries_[address].suspected_until = now + kSuspicionPeriod;
}

Duration PoolerLivenessTable::GetTimeSinceLastAnswer(const std::string& address,
                                                     TimePoint now) const {
  const std::lock_guard lock(mutex_);
  const auto it = entries_.find(address);
  return it == entries_.end() || it->second.last_answer == TimePoint::min()
             ? Duration::max()
             : now - it->second.last_answer;
}

bool PoolerLivenessTable::IsSuspected(const std::string& address,
                                      TimePoint now) const {
  const std::lock_guard lock(mutex_);
  const auto it = entries_.find(address);
  return it != entries_.end() && it->second.suspected_until > now;
}

}  // namespace magnoliareel
