#ifndef MAGNOLIAREEL_DIRECTORY_MODEL_TEAM_TABLE_H_
#define MAGNOLIAREEL_DIRECTORY_MODEL_TEAM_TABLE_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "core/core.h"

namespace magnoliareel {

/** Longest name of a team, in bytes: messages between VMs hold it beside a
   whole message of a caller. */
inline constexpr size_t kMaxTeamNameBytes = 256;

/** Digest of a caller's key. Keys themselves are not kept, so that they appear
    in no log and in no message between VMs. */
struct KeyDigest {
  std::array<uint8_t, 32> bytes{};

  auto operator<=>(const KeyDigest&) const = default;
};

/** Limit of a team's operations, across all VMs. */
struct TeamLimit {
  double rate_per_s = 0;
  /** Operations beyond the rate that may come at once. */
  double burst = 0;

  bool operator==(const TeamLimit&) const = default;
};

/** The operators' tolerance when they count a team's operations. In any sliding
    window, at most (rate x window + burst) x (1 + overage) + slack operations
    may reach endpoints. */
struct AllowanceWindow {
  Duration window = std::chrono::seconds(5);
  /** Share beyond the limit that is tolerated. */
  double overage = 0;
  /** Operations beyond the limit that are tolerated. */
  double slack = 0;

  bool operator==(const AllowanceWindow&) const = default;
};

/** Callers that share keys, a limit and connections. */
struct Team {
  TeamId id;
  /** None if its operations are not limited. */
  std::optional<TeamLimit> limit;

  bool operator==(const Team&) const = default;
};

/** Teams of one version of the configuration, immutable once published. */
class TeamTable {
 public:
  /** Adds a team, or replaces the one of that name. */
  void Add(Team team) {
    const TeamId id = team.id;
    teams_.insert_or_assign(id, std::move(team));
  }
  /** Gives a key to a team that was added. */
  void AddKey(const KeyDigest& key, const TeamId& team) {
    keys_.insert_or_assign(key, team);
  }
  /** Takes a key from the team that has it, if any. */
  void RemoveKey(const KeyDigest& key) { keys_.erase(key); }

  /** @param key  digest of the key that a caller has presented
      @returns    the team that has the key, or null */
  const Team* FindByKey(const KeyDigest& key) const {
    const auto it = keys_.find(key);
    return it == keys_.end() ? nullptr : Find(it->second);
  }
  /** @param id  name of a team
      @returns   the team, or null */
  const Team* Find(const TeamId& id) const {
    const auto it = teams_.find(id);
    return it == teams_.end() ? nullptr : &it->second;
  }
  /** @returns the teams, ordered by name */
  const std::map<TeamId, Team>& List() const { return teams_; }

 private:
  std::map<TeamId, Team> teams_;
  std::map<KeyDigest, TeamId> keys_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DIRECTORY_MODEL_TEAM_TABLE_H_
