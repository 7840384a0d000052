#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "history/history.h"
#include "routing/routing.h"
#include "tests/simulation/sim_caller.h"
#include "tests/simulation/sim_cluster.h"
#include "tests/simulation/sim_faults.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel::sim {
namespace {

constexpr int kCallerCount = 6;
constexpr Duration kFaultPeriod = std::chrono::seconds(8);
constexpr Duration kRecoveryPollInterval = std::chrono::milliseconds(100);
constexpr Duration kRecoveryTimeout = std::chrono::seconds(20);

/** Reads a number from an environment variable, for longer manual runs. */
uint64_t ReadNumber(const char* variable, uint64_t fallback) {
  const char* text = std::getenv(variable);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/** What one simulation returned. */
struct RunResult {
  /** The operations of all callers; empty if the cluster did not recover. */
  std::vector<Operation> history;
  /** All callers were idle and all groups had a primary in time. */
  bool has_recovered = false;
};

/** Appends to the history a final read of every record from its group's
    primary. */
void AddFinalReads(SimCluster& cluster, std::vector<Operation>& history) {
  const ServiceConfig& service =
      cluster.GetDeployment()->document.services.front();
  for (const std::string& record : ListRecords()) {
    Operation read;
    read.request = "final-" + record;
    read.session = "final";
    read.kind = OperationKind::kFinalRead;
    read.additions = {{record, ""}};
    read.outcome = Outcome::kDone;
    read.began = read.ended = cluster.Now().time_since_epoch().count();
    read.seen = SplitValues(
        cluster.FindPrimary(ChooseGroup(service, record).group)->Read(record));
    history.push_back(std::move(read));
  }
}

bool HasPrimaries(SimCluster& cluster) {
  const auto& groups =
      cluster.GetDeployment()->document.services.front().groups;
  return std::all_of(groups.begin(), groups.end(),
                     [&cluster](const GroupConfig& it) {
                       return cluster.FindPrimary(it.group) != nullptr;
                     });
}

RunResult Simulate(uint64_t seed, SimOptions options) {
  SimCluster cluster(seed, options);
  // Tasks that end a fault refer to it, also after Run().
  SimFaults faults(cluster);
  RunResult result;
  std::vector<std::unique_ptr<SimCaller>> callers;
  for (int n = 0; n < kCallerCount; ++n) {
    callers.push_back(std::make_unique<SimCaller>(cluster, n, result.history));
    callers.back()->Start();
  }
  cluster.Advance(std::chrono::seconds(1));
  faults.Run(kFaultPeriod);
  for (auto& it : callers) {
    it->Stop();
  }
  const auto is_idle = [](const auto& it) { return it->IsIdle(); };
  const TimePoint deadline = cluster.Now() + kRecoveryTimeout;
  while (!result.has_recovered && cluster.Now() < deadline) {
    cluster.Advance(kRecoveryPollInterval);
    result.has_recovered =
        std::all_of(callers.begin(), callers.end(), is_idle) &&
        HasPrimaries(cluster);
  }
  if (result.has_recovered) {
    AddFinalReads(cluster, result.history);
  } else {
    result.history.clear();
  }
  return result;
}

}  // namespace

TEST_GROUP(Simulation){};

TEST(Simulation, EveryInvariantHoldsUnderRandomFaults) {
  const uint64_t first = ReadNumber("MAGNOLIAREEL_SIM_FIRST_SEED", 1);
  const uint64_t seeds = ReadNumber("MAGNOLIAREEL_SIM_SEEDS", 150);
  size_t operations = 0;
  size_t failures = 0;
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    const RunResult result = Simulate(seed, {});
    operations += result.history.size();
    if (!result.has_recovered) {
      std::printf(
          "seed %lu: callers not idle or primaries missing after the faults\n",
          seed);
      ++failures;
    }
    const auto violations = CheckHistory(result.history);
    failures += violations.empty() ? 0 : 1;
    for (const Violation& it : violations) {
      std::printf("seed %lu: %s: %s: %s\n", seed,
                  std::string(GetHistoryRuleName(it.rule)).c_str(),
                  it.request.c_str(), it.detail.c_str());
    }
  }
  std::printf(
      "simulation: %lu seeds, %zu operations, %zu seeds with violations\n",
      seeds, operations, failures);
  LONGS_EQUAL(0, failures);
}

TEST(Simulation, DetectsReadsWithoutSessionWatermark) {
  SimOptions options;
  options.sends_session_watermarks = false;
  size_t violations = 0;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    for (const Violation& it : CheckHistory(Simulate(seed, options).history)) {
      violations += it.rule == HistoryRule::kReadYourWrites ? 1 : 0;
    }
  }
  CHECK(violations > 0);
}

}  // namespace magnoliareel::sim
