#include "allowance/slots/slot_rank.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace magnoliareel {

std::vector<uint32_t> RankSlots(const TeamId& team,
                                uint32_t slot_count,
                                uint32_t count) {
  const uint64_t seed = XXH3_64bits(team.value.data(), team.value.size());
  std::vector<std::pair<uint64_t, uint32_t>> ranks;
  ranks.reserve(slot_count);
  for (uint32_t slot = 0; slot < slot_count; ++slot) {
    ranks.emplace_back(XXH3_64bits_withSeed(&slot, sizeof slot, seed), slot);
  }
  count = std::min(count, slot_count);
  std::partial_sort(ranks.begin(), ranks.begin() + count, ranks.end());
  std::vector<uint32_t> slots;
  for (uint32_t it = 0; it < count; ++it) {
    slots.push_back(ranks[it].second);
  }
  return slots;
}

}  // namespace magnoliareel
