#include "directory/endpoints/endpoint_registry.h"

#include <set>
#include <utility>

namespace magnoliareel {

bool EndpointRegistry::Put(const VersionedEntry& entry, ChangeTime changed_at) {
  if (IsOlderVersion(entry)) {
    return false;
  }
  const ChangeTime drain = FindDrainTime(entry.entry, changed_at);
  State& state = entries_[entry.entry.id];
  VersionedEntry next = entry;
  next.entry.draining_since = drain.earliest;
  next.entry.is_drain_time_exact = drain.is_prompt;
  const bool changed =
      state.versioned.entry != next.entry || state.remove_at.has_value();
  state.versioned = std::move(next);
  state.remove_at.reset();
  return changed;
}

bool EndpointRegistry::IsOutdated(const VersionedEntry& entry) const {
  if (IsOlderVersion(entry)) {
    return true;
  }
  // Without a start time, a restart is not told from an older report.
  const EndpointEntry* latest = FindLatest(entry.entry);
  return latest != nullptr && entry.entry.started_at_ms != 0 &&
         entry.entry.report_number && latest->report_number &&
         *entry.entry.report_number < *latest->report_number;
}

bool EndpointRegistry::IsOlderVersion(const VersionedEntry& entry) const {
  if (const auto it = removed_.find(entry.entry.id);
      it != removed_.end() && entry.row_version <= it->second.row_version) {
    return true;
  }
  const auto it = entries_.find(entry.entry.id);
  return it != entries_.end() &&
         entry.row_version < it->second.versioned.row_version;
}

const EndpointEntry* EndpointRegistry::FindLatest(
    const EndpointEntry& entry) const {
  const EndpointEntry* latest = Find(entry.id);
  if (const auto it = removed_.find(entry.id);
      latest == nullptr && it != removed_.end()) {
    latest = &it->second.last_entry;
  }
  return latest != nullptr && latest->started_at_ms == entry.started_at_ms
             ? latest
             : nullptr;
}

ChangeTime EndpointRegistry::FindDrainTime(const EndpointEntry& entry,
                                           ChangeTime changed) const {
  if (!entry.draining) {
    return {};
  }
  // An endpoint whose entry expired is still as far into its drain when it is
  // listed again.
  if (const EndpointEntry* latest = FindLatest(entry);
      latest != nullptr && latest->draining) {
    return {latest->draining_since, latest->is_drain_time_exact};
  }
  return changed;
}

bool EndpointRegistry::RecordDrain(const EndpointId& id,
                                   int64_t started_at_ms,
                                   TimePoint since) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    return false;
  }
  EndpointEntry& entry = it->second.versioned.entry;
  if (!entry.draining || entry.started_at_ms != started_at_ms ||
      (entry.is_drain_time_exact &&
       since > *entry.draining_since - kDrainTimeTolerance)) {
    return false;
  }
  entry.draining_since = since;
  entry.is_drain_time_exact = true;
  return true;
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
    changed = Put(it, {now, false}) || changed;
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
    const VersionedEntry& last = it->second.versioned;
    removed_[it->first] = {last.row_version, last.entry};
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
