#include "entry/state/pooler_liveness_table.h"

namespace magnoliareel {

void PoolerLivenessTable::NoteAnswer(const std::string& address,
                                     TimePoint now) {
  const std::lock_guard lock(mutex_);
  contacts_[address] = Contact{now, TimePoint::min()};
}

void PoolerLivenessTable::RecordMissedPing(const std::string& address,
                                           TimePoint now) {
  const std::lock_guard lock(mutex_);
  contacts_[address].suspected_until = now + kSuspicionPeriod;
}

Duration PoolerLivenessTable::GetTimeSinceLastAnswer(const std::string& address,
                                                     TimePoint now) const {
  const std::lock_guard lock(mutex_);
  const auto it = contacts_.find(address);
  return it == contacts_.end() || it->second.answered == TimePoint::min()
             ? Duration::max()
             : now - it->second.answered;
}

bool PoolerLivenessTable::IsSuspected(const std::string& address,
                                      TimePoint now) const {
  const std::lock_guard lock(mutex_);
  const auto it = contacts_.find(address);
  return it != contacts_.end() && it->second.suspected_until > now;
}

}  // namespace magnoliareel
