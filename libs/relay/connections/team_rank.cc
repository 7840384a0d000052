#include "relay/connections/team_rank.h"

#include <xxhash.h>

#include <string_view>

namespace magnoliareel {
namespace {

uint64_t Combine(uint64_t seed, std::string_view text) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace

uint64_t RankForTeam(const TeamId& team,
                     const EndpointId& endpoint,
                     const VmId& holder) {
  return Combine(Combine(Combine(0, team.value), endpoint.value), holder.value);
}

uint64_t HashTeam(const TeamId& team) {
  return team.IsEmpty() ? 0 : Combine(0, team.value);
}

}  // namespace magnoliareel
