#include "directory/endpoints/endpoint_registry.h"

#include <set>

namespace magnoliareel {

bool EndpointRegistry::Put(const VersionedEntry& entry) {
  if (const auto it = removed_versions_.find(entry.entry.id);
      it != removed_versions_.end() && it->second >= entry.row_version) {
    return false;
  }
  State& state = entries_[entry.entry.id];
  if (entry.row_version < state.versioned.row_version) {
    return false;
  }
  const bool changed =
      state.versioned.entry != entry.entry || state.remove_at.has_value();
  state.versioned = entry;
  state.remove_at.reset();
  return changed;
}

void EndpointRegistry::MarkRemoved(const EndpointId& id,
                                   uint64_t row_version,
                                   TimePoint now) {
  const auto it = entries_.find(id);
  if (it == entries_.end() || row_version < it->second.versioned.row_version) {
    return;
  }
  it->second.versioned.row_version = row_version;
  if (!it->second.remove_at) {
    it->second.remove_at =
        it->second.versioned.entry.draining ? now : now + kRemovalGracePeriod;
  }
}

bool EndpointRegistry::ApplyListing(std::span<const VersionedEntry> listing,
                                    uint64_t row_version,
                                    TimePoint now) {
  bool changed = false;
  std::set<EndpointId> listed;
  for (const VersionedEntry& it : listing) {
    listed.insert(it.entry.id);
    changed = Put(it) || changed;
  }
  for (const auto& [id, state] : entries_) {
    if (!listed.contains(id)) {
      MarkRemoved(id, row_version, now);
    }
  }
  return changed;
}

void EndpointRegistry::ExtendGracePeriods(TimePoint now) {
  for (auto& [id, state] : entries_) {
    if (state.remove_at && !state.versioned.entry.draining) {
      state.remove_at = now + kRemovalGracePeriod;
    }
  }
}

std::vector<EndpointId> EndpointRegistry::Sweep(TimePoint now) {
  std::vector<EndpointId> removed;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (!it->second.remove_at || *it->second.remove_at > now) {
      ++it;
      continue;
    }
    removed_versions_[it->first] = it->second.versioned.row_version;
    removed.push_back(it->first);
    it = entries_.erase(it);
  }
  return removed;
}

std::vector<EndpointEntry> EndpointRegistry::List() const {
  std::vector<EndpointEntry> list;
  list.reserve(entries_.size());
  for (const auto& [id, state] : entries_) {
    list.push_back(state.versioned.entry);
  }
  return list;
}

const EndpointEntry* EndpointRegistry::Find(const EndpointId& id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second.versioned.entry;
}

}  // namespace magnoliareel
