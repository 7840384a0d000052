#include "placement/placement.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kObjective = milliseconds(800);
constexpr TimePoint kStart{seconds(100)};

/** Endpoints whose measurements a test sets. */
class Endpoints {
 public:
  explicit Endpoints(std::vector<PlacementLevel> levels)
      : records_(levels.size()) {
    for (size_t it = 0; it < levels.size(); ++it) {
      candidates_.push_back(
          {.record = &records_[it], .level = levels[it], .limit = 4});
    }
  }
  void Answer(size_t endpoint, int count, Duration time, TimePoint now) {
    for (int it = 0; it < count; ++it) {
      records_[endpoint].RecordAnswered(time, now);
    }
  }
  void Fail(size_t endpoint, int count, TimePoint now) {
    for (int it = 0; it < count; ++it) {
      records_[endpoint].RecordFailed(now);
    }
  }
  /** @returns how many of 1000 reads each endpoint gets */
  std::vector<int> Spread(TimePoint now) {
    std::vector<int> counts(candidates_.size());
    for (int it = 0; it < 1000; ++it) {
      ++counts[placement_.Choose(candidates_, kObjective, now, random_())];
    }
    return counts;
  }
  std::vector<PlacementCandidate>& GetCandidates() { return candidates_; }
  EndpointRecord& GetRecord(size_t it) { return records_[it]; }
  ReadPlacement& GetPlacement() { return placement_; }

 private:
  std::vector<EndpointRecord> records_;
  std::vector<PlacementCandidate> candidates_;
  ReadPlacement placement_;
  std::mt19937_64 random_{1};
};

constexpr PlacementLevel kSite = PlacementLevel::kSite;
constexpr PlacementLevel kRegion = PlacementLevel::kRegion;
constexpr PlacementLevel kRemote = PlacementLevel::kRemote;

}  // namespace

// Guards against the choices of a VM that has measured little or much.
TEST_GROUP(ReadPlacement){};

TEST(ReadPlacement, NoCandidatesGiveNoChoice) {
  ReadPlacement placement;
  LONGS_EQUAL(0, placement.Choose({}, kObjective, kStart, 1));
}

// All VMs would use the same two of many endpoints.
TEST(ReadPlacement, EqualEndpointsGetEqualShares) {
  Endpoints endpoints(std::vector<PlacementLevel>(8, kSite));
  for (const int it : endpoints.Spread(kStart)) {
    CHECK(it > 60 && it < 250);
  }
}

TEST(ReadPlacement, ACalmSiteKeepsItsReads) {
  Endpoints endpoints({kSite, kRegion, kRemote});
  endpoints.Answer(0, 20, milliseconds(60), kStart);
  endpoints.Answer(1, 20, milliseconds(10), kStart);
  LONGS_EQUAL(1000, endpoints.Spread(kStart)[0]);
}

TEST(ReadPlacement, TheCheaperOfTwoGetsMore) {
  Endpoints endpoints({kSite, kSite});
  endpoints.Answer(0, 50, milliseconds(10), kStart);
  endpoints.Answer(1, 50, milliseconds(40), kStart);
  const std::vector<int> counts = endpoints.Spread(kStart);
  CHECK(counts[0] > 700 && counts[1] > 100);
}

// An estimate that does not age keeps an endpoint out after it has recovered.
TEST(ReadPlacement, AnEndpointWithoutReadsIsTriedAgain) {
  Endpoints endpoints({kSite, kSite, kSite});
  endpoints.Answer(0, 20, milliseconds(10), kStart);
  endpoints.Answer(1, 20, milliseconds(10), kStart);
  endpoints.Answer(2, 20, milliseconds(500), kStart);
  LONGS_EQUAL(0, endpoints.Spread(kStart)[2]);
  CHECK(endpoints.Spread(kStart + seconds(20))[2] > 200);
}

TEST(ReadPlacement, AnEndpointBehindItsRepliesCostsMore) {
  Endpoints endpoints({kSite, kSite, kSite});
  for (size_t it = 0; it < 3; ++it) {
    endpoints.Answer(it, 20, milliseconds(10), kStart);
  }
  endpoints.GetRecord(0).RecordSent(0, kStart);
  endpoints.GetCandidates()[0].running = 1;
  const std::vector<int> counts = endpoints.Spread(kStart + milliseconds(300));
  LONGS_EQUAL(0, counts[0]);
}

TEST(ReadPlacement, AnEndpointThatFailedTheReadIsAvoided) {
  Endpoints endpoints({kSite, kRemote});
  endpoints.GetCandidates()[0].penalty = seconds(5);
  LONGS_EQUAL(1000, endpoints.Spread(kStart)[1]);
}

// The former rule waits for a near replica rather than using another region.
TEST(ReadPlacement, AReplicaThatIsBehindIsCheaperThanAnotherRegion) {
  Endpoints endpoints({kSite, kRemote});
  endpoints.GetCandidates()[0].penalty = milliseconds(150);
  LONGS_EQUAL(1000, endpoints.Spread(kStart)[0]);
}

TEST(ReadPlacement, OverloadLeavesAtOnceAndReturnsSlowly) {
  Endpoints endpoints({kSite, kRegion});
  endpoints.Answer(1, 20, milliseconds(10), kStart);
  endpoints.Answer(0, 50, milliseconds(400), kStart);
  // Half of what takes twice the bound.
  const int left = endpoints.Spread(kStart)[1];
  CHECK(left > 400 && left < 600);
  const double risen =
      endpoints.GetPlacement().GetSpilloverShare(PlacementLevel::kSite);
  TimePoint now = kStart + milliseconds(1);
  double last = risen;
  for (int it = 0; it < 100; ++it) {
    now += milliseconds(100);
    endpoints.Answer(0, 100, milliseconds(20), now);
    endpoints.Spread(now);
    const double share =
        endpoints.GetPlacement().GetSpilloverShare(PlacementLevel::kSite);
    CHECK(share <= last);
    CHECK(share == 0 || share >= last * 0.89);
    last = share;
  }
  CHECK(last < risen / 4 && last > 0);
  endpoints.Spread(now + seconds(30));
  DOUBLES_EQUAL(
      0, endpoints.GetPlacement().GetSpilloverShare(PlacementLevel::kSite), 0);
}

// A read that may leave stays where it is served earlier nevertheless.
TEST(ReadPlacement, NothingLeavesForEndpointsThatAreSlower) {
  Endpoints endpoints({kSite, kRemote});
  endpoints.Answer(0, 50, milliseconds(300), kStart);
  endpoints.Answer(1, 50, milliseconds(400), kStart);
  LONGS_EQUAL(1000, endpoints.Spread(kStart)[0]);
}

// Between 80% and 100% of the bound, the share neither rises nor falls.
TEST(ReadPlacement, TheShareHasAHysteresis) {
  SpilloverShare share;
  share.Update(milliseconds(400), milliseconds(200), kStart);
  const double risen = share.Get();
  for (int it = 0; it < 100; ++it) {
    share.Update(milliseconds(180), milliseconds(200),
                 kStart + it * milliseconds(100));
  }
  DOUBLES_EQUAL(risen, share.Get(), 1e-9);
}

TEST(ReadPlacement, AFailingEndpointIsEjectedAndProbed) {
  Endpoints endpoints({kSite, kSite, kSite});
  endpoints.Answer(0, 10, milliseconds(10), kStart);
  endpoints.Answer(1, 10, milliseconds(10), kStart);
  endpoints.Answer(2, 5, milliseconds(10), kStart);
  endpoints.Fail(2, 5, kStart);
  const auto changes =
      endpoints.GetPlacement().Review(endpoints.GetCandidates(), kStart);
  LONGS_EQUAL(1, changes.size());
  LONGS_EQUAL(2, changes[0].candidate);
  LONGS_EQUAL(0, endpoints.Spread(kStart + milliseconds(900))[2]);
  LONGS_EQUAL(1, endpoints.Spread(kStart + milliseconds(1100))[2]);
}

TEST(ReadPlacement, AtMostAThirdIsEjected) {
  Endpoints endpoints(std::vector<PlacementLevel>(6, kSite));
  for (size_t it = 0; it < 6; ++it) {
    endpoints.Answer(it, 20, milliseconds(10), kStart);
  }
  TimePoint now = kStart;
  for (size_t it = 0; it < 4; ++it) {
    endpoints.Fail(it, 40, now);
  }
  size_t ejected = 0;
  for (int it = 0; it < 10; ++it) {
    now += milliseconds(100);
    for (const EjectionChange& change :
         endpoints.GetPlacement().Review(endpoints.GetCandidates(), now)) {
      ejected += change.is_ejected ? 1 : 0;
    }
  }
  CHECK(ejected <= 2);
}

// An endpoint of two is never ejected: the other one cannot take all reads.
TEST(ReadPlacement, OneOfTwoIsNotEjected) {
  Endpoints endpoints({kSite, kSite});
  endpoints.Answer(0, 20, milliseconds(10), kStart);
  endpoints.Fail(1, 20, kStart);
  CHECK(endpoints.GetPlacement()
            .Review(endpoints.GetCandidates(), kStart)
            .empty());
}

// Errors that callers cause occur at all endpoints.
TEST(ReadPlacement, AShareOfFailuresOfAllIsNoOutlier) {
  Endpoints endpoints({kSite, kSite, kSite});
  for (size_t it = 0; it < 3; ++it) {
    endpoints.Answer(it, 10, milliseconds(10), kStart);
    endpoints.Fail(it, 10, kStart);
  }
  CHECK(endpoints.GetPlacement()
            .Review(endpoints.GetCandidates(), kStart)
            .empty());
}

TEST(ReadPlacement, AMuchSlowerEndpointIsEjected) {
  Endpoints endpoints({kSite, kSite, kSite});
  endpoints.Answer(0, 20, milliseconds(20), kStart);
  endpoints.Answer(1, 20, milliseconds(20), kStart);
  endpoints.Answer(2, 20, milliseconds(160), kStart);
  const auto changes =
      endpoints.GetPlacement().Review(endpoints.GetCandidates(), kStart);
  LONGS_EQUAL(1, changes.size());
  LONGS_EQUAL(2, changes[0].candidate);
}

TEST(ReadPlacement, EjectionTimesDoubleUpTo16Seconds) {
  Ejection ejection;
  TimePoint now = kStart;
  std::vector<int64_t> times;
  for (int it = 0; it < 6; ++it) {
    ejection.Eject(now);
    times.push_back(ejection.GetTime() / seconds(1));
    now += ejection.GetTime();
    CHECK(ejection.EndIfDue(now));
  }
  CHECK((times == std::vector<int64_t>{2, 4, 8, 16, 16, 16}));
  now += seconds(40);
  ejection.Eject(now);
  LONGS_EQUAL(2, ejection.GetTime() / seconds(1));
}

TEST(ReadPlacement, AFailedProbeProlongsTheEjection) {
  Ejection ejection;
  ejection.Eject(kStart);
  // Sent before the ejection.
  ejection.RecordOutcome(true);
  ejection.RecordProbe(kStart + seconds(1));
  ejection.RecordOutcome(true);
  CHECK_FALSE(ejection.EndIfDue(kStart + seconds(2)));
  LONGS_EQUAL(4, ejection.GetTime() / seconds(1));
  CHECK(ejection.EndIfDue(kStart + seconds(6)));
}

// Prints the time of a decision; a bound would depend on the machine.
TEST(ReadPlacement, TimeOfADecision) {
  Endpoints endpoints(
      {kSite, kRegion, kRegion, kRegion, kRegion, kRemote, kRemote, kRemote});
  for (size_t it = 0; it < 8; ++it) {
    endpoints.Answer(it, 20, milliseconds(10), kStart);
  }
  const auto began = std::chrono::steady_clock::now();
  constexpr int kRounds = 100;
  int sum = 0;
  for (int it = 0; it < kRounds; ++it) {
    sum += endpoints.Spread(kStart + it * milliseconds(1))[0];
  }
  const auto took = std::chrono::steady_clock::now() - began;
  CHECK(sum > 0);
  std::printf("a choice among 8 endpoints took %.3f us\n",
              std::chrono::duration<double, std::micro>(took).count() /
                  (kRounds * 1000));
}

}  // namespace magnoliareel
