#include "relay/primaries/primary_tracker.h"

#include <algorithm>

namespace magnoliareel {

bool PrimaryTracker::NoteProven(const EndpointId& id, Term term) {
  if (term < term_) {
    return false;
  }
  term_ = term;
  if (refused_ == id) {
    refused_.reset();
  }
  if (leader_ == id) {
    return false;
  }
  leader_ = id;
  return true;
}

bool PrimaryTracker::RecordNotPrimary(const EndpointId& id, TimePoint now) {
  refused_ = id;
  refused_at_ = now;
  const bool awaited =
      announced_ == id && now - announced_at_ < kPromotionGracePeriod;
  if (leader_ != id || awaited) {
    return false;
  }
  leader_.reset();
  return true;
}

bool PrimaryTracker::RecordAnnouncedPromotion(const EndpointId& id,
                                              TimePoint now) {
  announced_ = id;
  announced_at_ = now;
  if (leader_ == id) {
    return false;
  }
  leader_ = id;
  return true;
}

bool PrimaryTracker::Review(std::span<const EndpointEntry* const> entries,
                            TimePoint now) {
  const auto is_listed = [&](const EndpointId& id) {
    return std::any_of(entries.begin(), entries.end(),
                       [&](const EndpointEntry* it) { return it->id == id; });
  };
  bool changed = false;
  if (leader_ && !is_listed(*leader_)) {
    leader_.reset();
    changed = true;
  }
  if (leader_) {
    return changed;
  }
  for (const EndpointEntry* it : entries) {
    const bool refused_lately =
        refused_ == it->id && now - refused_at_ < kNotPrimaryRetryInterval;
    if (it->claims_primary && !refused_lately) {
      leader_ = it->id;
      return true;
    }
  }
  return changed;
}

}  // namespace magnoliareel
