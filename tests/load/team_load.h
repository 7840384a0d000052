#ifndef MAGNOLIAREEL_TESTS_LOAD_TEAM_LOAD_H_
#define MAGNOLIAREEL_TESTS_LOAD_TEAM_LOAD_H_

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "telemetry/telemetry.h"
#include "tests/load/open_loop_load.h"
#include "tests/traffic/traffic_simulation.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

// A service of a large deployment: VMs outnumber the connections of a member,
// and teams outnumber those of a holder.
inline constexpr size_t kVms = 80;
inline constexpr size_t kTeams = 82;
inline constexpr uint32_t kConnections = 66;
inline constexpr uint32_t kSlots = 6;
inline constexpr Duration kHandshakeTime = std::chrono::milliseconds(12);
inline constexpr Duration kMeanRunTime = std::chrono::milliseconds(11);
// Share of the slots that the statements of the steady load occupy.
inline constexpr double kSteadyLoad = 0.3;
inline constexpr double kMinServedShare = 0.95;

inline GroupOptions MakeGroupOptions(uint64_t seed) {
  GroupOptions options;
  options.seed = seed;
  options.slots = kSlots;
  options.queue = 40;
  options.max_connections = kConnections;
  options.handshake_time = kHandshakeTime;
  options.handshakes_wait = true;
  options.mean_run_time = kMeanRunTime;
  return options;
}

inline OpenLoopOptions MakeLoadOptions(uint64_t seed) {
  OpenLoopOptions options;
  options.vms = kVms;
  options.sessions_per_vm = 3 * kTeams / 4;
  options.seed = seed;
  options.teams = kTeams;
  options.rate = kSteadyLoad * kSlots * 3 /
                 std::chrono::duration<double>(kMeanRunTime).count();
  return options;
}

/** Callers of many teams before one group of databases. */
class TeamLoad {
 public:
  explicit TeamLoad(uint64_t seed)
      : simulation(kVms, MakeGroupOptions(seed)),
        load(simulation, MakeLoadOptions(seed)) {
    auto teams = std::make_shared<TeamTable>();
    for (size_t it = 0; it < kTeams; ++it) {
      const TeamId team{"team-" + std::to_string(it)};
      teams->Add({team, std::nullopt});
      teams->AddKey(DigestKey("key-" + std::to_string(it)), team);
    }
    simulation.SetTeams(std::move(teams));
    queue.RunUntil(queue.Now() + std::chrono::seconds(1));
    load.OpenSessions();
    load.RunUntil(queue.Now() + std::chrono::seconds(3), 1);
  }

  /** Checks the rules that hold at all times. */
  void CheckConnections() {
    size_t n = 0;
    for (const ExecutedStatement& it :
         simulation.GetGroup().GetExecutedStatements()) {
      const size_t at = it.request.find("-team-");
      if (at == std::string::npos) {
        continue;
      }
      ++n;
      STRCMP_EQUAL(it.request.substr(at + 1).c_str(), it.caller.c_str());
    }
    CHECK(n > 1000);
    CHECK(simulation.GetGroup().GetMaxOpenConnections() <= kConnections);
  }

  /** @returns the connections that all VMs have opened */
  uint64_t CountOpened() {
    uint64_t opened = 0;
    for (size_t vm = 0; vm < kVms; ++vm) {
      opened += simulation.GetCore(vm).GetCounters().connections_opened;
    }
    return opened;
  }

  /** Checks that each team was served in a period. */
  void CheckShares(TimePoint begin, TimePoint end, size_t first_team) {
    const std::vector<double> shares = load.GetTeamShares(begin, end);
    const auto lowest = std::min_element(
        shares.begin() + static_cast<std::ptrdiff_t>(first_team), shares.end());
    const double all = load.GetServedShare(begin, end);
    const std::string text =
        "served " + std::to_string(all) + ", lowest team " +
        std::to_string(lowest - shares.begin()) + " " + std::to_string(*lowest);
    CHECK_TEXT(all >= kMinServedShare, text.c_str());
    // Some teams send few operations in the period.
    CHECK_TEXT(*lowest >= kMinServedShare - 0.1, text.c_str());
  }

  TrafficSimulation simulation;
  OpenLoopLoad load;
  EventQueue& queue = simulation.GetQueue();
};

/** Tests with the load of many teams, without a log. */
class TeamLoadGroup : public Utest {
 public:
  void setup() override {
    static LogBuffer log_buffer(0);
    StartBufferedLog(log_buffer, "simulated");
  }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_LOAD_TEAM_LOAD_H_
