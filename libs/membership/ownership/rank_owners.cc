#include "membership/ownership/rank_owners.h"

#include <xxhash.h>

#include <algorithm>

namespace magnoliareel {
namespace {

struct ScoredVm {
  bool is_local = false;
  uint64_t score = 0;
  const VmEntry* entry = nullptr;
};

uint64_t ScoreVm(const VmId& vm, uint64_t seed) {
  return XXH3_64bits_withSeed(vm.value.data(), vm.value.size(), seed);
}

bool IsRankedBefore(const ScoredVm& left, const ScoredVm& right) {
  if (left.is_local != right.is_local) {
    return left.is_local;
  }
  if (left.score != right.score) {
    return left.score > right.score;
  }
  return left.entry->vm < right.entry->vm;
}

}  // namespace

std::vector<VmId> RankOwners(std::span<const VmEntry> vms,
                             const SiteId& site,
                             std::string_view name,
                             size_t count) {
  const uint64_t seed = XXH3_64bits(name.data(), name.size());
  std::vector<ScoredVm> scored;
  scored.reserve(vms.size());
  for (const VmEntry& entry : vms) {
    if (!entry.is_leaving) {
      scored.push_back({entry.site == site, ScoreVm(entry.vm, seed), &entry});
    }
  }
  const size_t n = std::min(count, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(n),
                    scored.end(), &IsRankedBefore);
  std::vector<VmId> ranked;
  ranked.reserve(n);
  for (size_t k = 0; k < n; ++k) {
    ranked.push_back(scored[k].entry->vm);
  }
  return ranked;
}

}  // namespace magnoliareel
