#include "tests/placement/placement_fleet.h"

#include <algorithm>
#include <array>
#include <string>

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<uint64_t, 3> kSeeds = {1, 2, 3};

/** What callers and endpoints have seen of some reads. */
struct ReadSummary {
  size_t reads = 0;
  double served_share = 0;
  /** Share of the reads that met a failure or a silent endpoint. */
  double failure_share = 0;
  /** Share of the reads that left their site. */
  double left_share = 0;
  /** Times that this share of the reads do not exceed. */
  Duration p50{};
  Duration p99{};
  /** Reads of the busiest endpoint, divided by the mean. */
  double peak_to_mean = 0;

  std::string Format() const {
    return std::to_string(reads) + " reads, served " +
           std::to_string(served_share) + ", met failures " +
           std::to_string(failure_share) + ", left " +
           std::to_string(left_share) + ", p50 " + std::to_string(p50.count()) +
           ", p99 " + std::to_string(p99.count()) + " us, peak to mean " +
           std::to_string(peak_to_mean);
  }
};

ReadSummary Summarize(const std::vector<FleetRead>& reads,
                      Duration objective,
                      size_t endpoints) {
  ReadSummary out;
  out.reads = reads.size();
  std::vector<Duration> times;
  std::vector<size_t> counts(endpoints);
  const double n = static_cast<double>(std::max<size_t>(1, reads.size()));
  for (const FleetRead& it : reads) {
    times.push_back(it.time);
    ++counts[it.endpoint];
    out.served_share += it.succeeded && it.time <= objective ? 1 / n : 0;
    out.failure_share += it.failures > 0 ? 1 / n : 0;
    out.left_share += it.distance != Distance::kSameSite ? 1 / n : 0;
  }
  std::sort(times.begin(), times.end());
  if (!times.empty()) {
    out.p50 = times[times.size() / 2];
    out.p99 = times[times.size() * 99 / 100];
  }
  out.peak_to_mean =
      static_cast<double>(*std::max_element(counts.begin(), counts.end())) *
      static_cast<double>(endpoints) / n;
  return out;
}

/** Plays a scenario by both rules. The adaptive rule must meet the bound with
    each seed, and the former one must miss it with at least one: otherwise the
    scenario shows nothing.

    @param play  returns the summary of a run: (rule, seed) -> ReadSummary
    @param meets whether a summary meets the bound
*/
template <class P, class M>
void CompareRules(P play, M meets) {
  bool former_misses = false;
  std::string former_runs;
  for (const uint64_t seed : kSeeds) {
    const ReadSummary former = play(PlacementRule::kFormer, seed);
    former_misses = former_misses || !meets(former);
    former_runs += " former: " + former.Format() + ";";
    const ReadSummary adaptive = play(PlacementRule::kAdaptive, seed);
    const std::string text = "seed " + std::to_string(seed) +
                             " adaptive: " + adaptive.Format() +
                             "; former: " + former.Format();
    CHECK_TEXT(meets(adaptive), text.c_str());
  }
  CHECK_TEXT(former_misses, former_runs.c_str());
}

/** Eight VMs and three endpoints of one site, at half of what they can take. */
FleetOptions OneSite(PlacementRule rule, uint64_t seed) {
  FleetOptions options;
  options.rule = rule;
  options.seed = seed;
  options.vm_sites.assign(8, 0);
  options.endpoint_sites.assign(3, 0);
  return options;
}
// Three endpoints with 4 slots and 20 ms can take 600 reads per second.
constexpr double kOneSiteRate = 250;

}  // namespace

// Guards against choices of endpoints that cost callers their response times or
// the deployment bytes between sites.
TEST_GROUP(PlacementFleet){};

TEST(PlacementFleet, OneOfThreeTurnsEightTimesSlower) {
  CompareRules(
      [](PlacementRule rule, uint64_t seed) {
        const FleetOptions options = OneSite(rule, seed);
        PlacementFleet fleet(options);
        const TimePoint start = fleet.GetQueue().Now();
        fleet.AddLoad(0, kOneSiteRate, start + seconds(70));
        fleet.GetQueue().RunUntil(start + seconds(10));
        fleet.SetSlowness(1, 8);
        fleet.GetQueue().RunUntil(start + seconds(30));
        fleet.SetSlowness(1, 1);
        fleet.GetQueue().RunUntil(start + seconds(90));
        ReadSummary slow =
            Summarize(fleet.ListReads(start + seconds(12), start + seconds(30)),
                      options.objective, 3);
        // An endpoint that is as fast as before gets its part again.
        slow.peak_to_mean =
            Summarize(fleet.ListReads(start + seconds(50), start + seconds(70)),
                      options.objective, 3)
                .peak_to_mean;
        return slow;
      },
      // A quarter of the objective.
      [](const ReadSummary& it) {
        return it.served_share >= 0.999 && it.p99 <= milliseconds(200) &&
               it.peak_to_mean <= 1.3;
      });
}

TEST(PlacementFleet, OneFailsHalfWhileItsHealthIsGood) {
  CompareRules(
      [](PlacementRule rule, uint64_t seed) {
        const FleetOptions options = OneSite(rule, seed);
        PlacementFleet fleet(options);
        const TimePoint start = fleet.GetQueue().Now();
        fleet.AddLoad(0, kOneSiteRate, start + seconds(40));
        fleet.GetQueue().RunUntil(start + seconds(10));
        fleet.SetFailureShare(1, 0.5);
        fleet.GetQueue().RunUntil(start + seconds(60));
        return Summarize(
            fleet.ListReads(start + seconds(12), start + seconds(40)),
            options.objective, 3);
      },
      // Each of 8 VMs may probe once a second: 8 of 250 reads, half fail.
      [](const ReadSummary& it) { return it.failure_share <= 0.025; });
}

TEST(PlacementFleet, OneGoesUpAndDown) {
  CompareRules(
      [](PlacementRule rule, uint64_t seed) {
        const FleetOptions options = OneSite(rule, seed);
        PlacementFleet fleet(options);
        const TimePoint start = fleet.GetQueue().Now();
        fleet.AddLoad(0, kOneSiteRate, start + seconds(60));
        for (int it = 10; it < 60; it += 4) {
          fleet.GetQueue().RunUntil(start + seconds(it));
          fleet.SetSilent(1, true);
          fleet.GetQueue().RunUntil(start + seconds(it + 2));
          fleet.SetSilent(1, false);
        }
        fleet.GetQueue().RunUntil(start + seconds(80));
        return Summarize(
            fleet.ListReads(start + seconds(20), start + seconds(60)),
            options.objective, 3);
      },
      // Probes of 8 VMs, half of which meet a silent endpoint, are 1.6% of the
      // reads.
      [](const ReadSummary& it) {
        return it.served_share >= 0.995 && it.failure_share <= 0.02;
      });
}

/** Two sites of a region with VMs, and one of the next region; each site has
   one endpoint, which can take 200 reads per second. */
FleetOptions ThreeSites(PlacementRule rule, uint64_t seed) {
  FleetOptions options;
  options.rule = rule;
  options.seed = seed;
  options.vm_sites = {0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 2, 2};
  options.endpoint_sites = {0, 1, 2};
  return options;
}

TEST(PlacementFleet, ASiteWithTwiceItsCapacityUsesIdleEndpoints) {
  CompareRules(
      [](PlacementRule rule, uint64_t seed) {
        const FleetOptions options = ThreeSites(rule, seed);
        PlacementFleet fleet(options);
        const TimePoint start = fleet.GetQueue().Now();
        fleet.AddLoad(0, 80, start + seconds(60));
        fleet.AddLoad(0, 320, start + seconds(20));
        fleet.AddLoad(1, 20, start + seconds(60));
        fleet.AddLoad(2, 20, start + seconds(60));
        fleet.GetQueue().RunUntil(start + seconds(90));
        ReadSummary out = Summarize(fleet.ListReads(start, start + seconds(20)),
                                    options.objective, 3);
        // The endpoints of the site can take all reads afterwards.
        out.left_share =
            Summarize(fleet.ListReads(start + seconds(30), start + seconds(60)),
                      options.objective, 3)
                .left_share;
        return out;
      },
      [](const ReadSummary& it) {
        return it.served_share >= 0.99 && it.left_share <= 0.005;
      });
}

TEST(PlacementFleet, VmsWithTheSameViewSpreadTheirReads) {
  CompareRules(
      [](PlacementRule rule, uint64_t seed) {
        FleetOptions options = OneSite(rule, seed);
        options.vm_sites.assign(200, 0);
        options.endpoint_sites.assign(8, 0);
        PlacementFleet fleet(options);
        const TimePoint start = fleet.GetQueue().Now();
        // All VMs have the same view: none has measured anything yet.
        fleet.AddLoad(0, 2000, start + milliseconds(200));
        fleet.GetQueue().RunUntil(start + seconds(20));
        return Summarize(fleet.ListReads(start, start + seconds(1)),
                         options.objective, 8);
      },
      [](const ReadSummary& it) { return it.peak_to_mean <= 2; });
}

TEST(PlacementFleet, ACalmDayStaysAtItsSite) {
  CompareRules(
      [](PlacementRule rule, uint64_t seed) {
        FleetOptions options = ThreeSites(rule, seed);
        options.mean_run_time = milliseconds(55);
        options.objective = milliseconds(1200);
        PlacementFleet fleet(options);
        const TimePoint start = fleet.GetQueue().Now();
        // Each site can take 73 reads per second.
        for (size_t site = 0; site < 3; ++site) {
          fleet.AddLoad(site, 40, start + seconds(60));
        }
        fleet.GetQueue().RunUntil(start + seconds(80));
        return Summarize(fleet.ListReads(start, start + seconds(60)),
                         options.objective, 3);
      },
      [](const ReadSummary& it) {
        return it.served_share >= 0.999 && it.left_share <= 0.001;
      });
}

// The share falls steadily after a surge, and does not rise again.
TEST(PlacementFleet, TheShareDoesNotSwingAfterASurge) {
  for (const uint64_t seed : kSeeds) {
    PlacementFleet fleet(ThreeSites(PlacementRule::kAdaptive, seed));
    const TimePoint start = fleet.GetQueue().Now();
    fleet.AddLoad(0, 120, start + seconds(50));
    fleet.AddLoad(0, 280, start + seconds(20));
    fleet.GetQueue().RunUntil(start + seconds(22));
    std::array<double, 4> last{};
    for (int it = 0; it < 60; ++it) {
      fleet.GetQueue().RunUntil(start + seconds(22) + it * milliseconds(400));
      for (size_t vm = 0; vm < last.size(); ++vm) {
        const double share = fleet.GetSpilloverShare(vm);
        CHECK(it == 0 || share <= last[vm] + 1e-9);
        last[vm] = share;
      }
    }
    for (const double it : last) {
      CHECK(it <= 0.05);
    }
  }
}

}  // namespace magnoliareel
