#include "relay/primaries/primary_tracker.h"

#include <algorithm>

namespace magnoliareel {

bool PrimaryTracker::RecordConfirmed(const EndpointId& id,
                                     Term term,
                                     TimePoint now) {
  if (term < term_) {
    return false;
  }
  const bool is_former_primary = term == term_ && announced_ != id &&
                                 primary_ == announced_ &&
                                 now - announced_at_ < kPromotionGracePeriod;
  term_ = term;
  if (not_primary_ == id) {
    not_primary_.reset();
  }
  if (primary_ == id || is_former_primary) {
    return false;
  }
  primary_ = id;
  return true;
}

bool PrimaryTracker::RecordNotPrimary(const EndpointId& id, TimePoint now) {
  not_primary_ = id;
  not_primary_at_ = now;
  const bool in_grace_period =
      announced_ == id && now - announced_at_ < kPromotionGracePeriod;
  if (primary_ != id || in_grace_period) {
    return false;
  }
  primary_.reset();
  return true;
}

bool PrimaryTracker::RecordAnnouncedPromotion(const EndpointId& id,
                                              TimePoint now) {
  announced_ = id;
  announced_at_ = now;
  if (primary_ == id) {
    return false;
  }
  primary_ = id;
  return true;
}

bool PrimaryTracker::UpdateFromDirectory(
    std::span<const EndpointEntry* const> entries,
    TimePoint now) {
  const auto is_listed = [&](const EndpointId& id) {
    return std::any_of(entries.begin(), entries.end(),
                       [&](const EndpointEntry* it) { return it->id == id; });
  };
  bool changed = false;
  if (primary_ && !is_listed(*primary_)) {
    primary_.reset();
    changed = true;
  }
  if (primary_) {
    return changed;
  }
  for (const EndpointEntry* it : entries) {
    const bool refused_recently =
        not_primary_ == it->id &&
        now - not_primary_at_ < kNotPrimaryRetryInterval;
    if (it->claims_primary && !refused_recently) {
      primary_ = it->id;
      return true;
    }
  }
  return changed;
}

}  // namespace magnoliareel
