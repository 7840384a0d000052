#include "entry/state/pooler_contacts.h"

namespace magnoliareel {

void PoolerContacts::NoteAnswer(const std::string& address, TimePoint now) {
  const std::lock_guard lock(mutex_);
  contacts_[address] = Contact{now, TimePoint::min()};
}

void PoolerContacts::NoteSilence(const std::string& address, TimePoint now) {
  const std::lock_guard lock(mutex_);
  contacts_[address].suspected_until = now + kSuspicion;
}

Duration PoolerContacts::GetSilence(const std::string& address,
                                    TimePoint now) const {
  const std::lock_guard lock(mutex_);
  const auto it = contacts_.find(address);
  return it == contacts_.end() || it->second.answered == TimePoint::min()
             ? Duration::max()
             : now - it->second.answered;
}

bool PoolerContacts::IsSuspected(const std::string& address,
                                 TimePoint now) const {
  const std::lock_guard lock(mutex_);
  const auto it = contacts_.find(address);
  return it != contacts_.end() && it->second.suspected_until > now;
}

}  // namespace magnoliareel
