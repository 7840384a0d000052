#include "forwarding/holders/holder_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "membership/membership.h"

namespace magnoliareel {
namespace {

// Holders and the VMs that take their place if none of them answers.
constexpr size_t kRankedVms = 2 * kHoldersPerEndpoint;

}  // namespace

bool HolderTable::SetCandidates(std::span<const HolderCandidate> candidates) {
  if (std::equal(candidates.begin(), candidates.end(), candidates_.begin(),
                 candidates_.end())) {
    return false;
  }
  candidates_.assign(candidates.begin(), candidates.end());
  entries_.clear();
  for (const HolderCandidate& it : candidates_) {
    VmEntry& entry = entries_.emplace_back();
    entry.vm = it.vm;
    entry.site = it.site;
  }
  chosen_.clear();
  return true;
}

const EndpointHolders& HolderTable::Find(const EndpointEntry& endpoint) {
  const auto [it, added] = chosen_.try_emplace({endpoint.id, endpoint.site});
  if (added) {
    it->second = Choose(endpoint);
  }
  return it->second;
}

EndpointHolders HolderTable::Choose(const EndpointEntry& endpoint) const {
  std::vector<VmId> ranked =
      RankOwners(entries_, endpoint.site, endpoint.id.value, kRankedVms);
  const auto holders_end =
      ranked.begin() + static_cast<std::ptrdiff_t>(std::min<size_t>(
                           ranked.size(), kHoldersPerEndpoint));
  EndpointHolders holders;
  holders.held_here =
      std::find(ranked.begin(), holders_end, self_) != holders_end;
  // Each VM begins with another holder, which spreads the load.
  if (holders_end != ranked.begin()) {
    const uint64_t hash = XXH3_64bits(self_.value.data(), self_.value.size());
    const auto first = static_cast<std::ptrdiff_t>(
        hash % static_cast<uint64_t>(holders_end - ranked.begin()));
    std::rotate(ranked.begin(), ranked.begin() + first, holders_end);
  }
  for (const VmId& vm : ranked) {
    if (vm == self_) {
      continue;
    }
    const auto it = std::find_if(
        candidates_.begin(), candidates_.end(),
        [&](const HolderCandidate& candidate) { return candidate.vm == vm; });
    holders.peers.push_back({it->vm, it->address});
  }
  return holders;
}

}  // namespace magnoliareel
