#include "placement/choice/read_placement.h"

#include <algorithm>
#include <optional>

namespace magnoliareel {
namespace {

// Interval of the comparison of endpoints: short compared with an ejection.
constexpr Duration kReviewInterval = std::chrono::milliseconds(100);
// Round trips that are assumed before the first handshake with an endpoint.
constexpr std::array<Duration, kPlacementLevelCount> kAssumedRoundTrips = {
    std::chrono::microseconds(500), std::chrono::milliseconds(7),
    std::chrono::milliseconds(40)};
// Price of the bytes that leave the site, as waiting time; the objective
// divided by the second is that of the bytes that leave the region.
constexpr Duration kRegionPrice = std::chrono::milliseconds(10);
constexpr int kRemotePriceDivisor = 5;
// The objective divided by this is the time within which a level must serve.
constexpr int kServeBoundDivisor = 4;
// A candidate with this penalty or more does not hold reads at its level.
constexpr Duration kSevere = std::chrono::milliseconds(100);
// Penalty of an ejected endpoint: below that of one that failed this read.
constexpr Duration kEjectedPenalty = std::chrono::seconds(1);
// Costs are varied by up to this part for each choice. Without that, all VMs
// with the same view would use the same two endpoints of a large service.
constexpr double kCostVariation = 0.3;
// Weighted number of outcomes from which on an endpoint is compared, and
// failures from which on it may be ejected for them.
constexpr double kMinOutcomes = 3;
constexpr double kMinFailures = 2;
// An outlier fails this share of its statements, and so much more than the
// others.
constexpr double kMinFailureShare = 0.3;
constexpr double kFailureFactor = 3;
// An outlier takes so much longer than the others of its level, and so much
// time more. The mean of eight varying run times reaches 3 times the expected
// one.
constexpr int kSlowFactor = 4;
constexpr Duration kMinSlowExcess = std::chrono::milliseconds(20);
// At most one of so many endpoints of a service is ejected at a time.
constexpr size_t kEndpointsPerEjection = 3;
// Cost of an endpoint that answers at once; avoids a division by 0.
constexpr double kMinCostUs = 50;

constexpr double kRandomScale = 1.0 / 9007199254740992.0;

/** A sequence of numbers from 0 to 1 that continues random bits (SplitMix64,
    which takes a few nanoseconds). */
class RandomSequence {
 public:
  explicit RandomSequence(uint64_t bits) : state_(bits) {}
  double Next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    uint64_t it = state_;
    it = (it ^ (it >> 30)) * 0xbf58476d1ce4e5b9ULL;
    it = (it ^ (it >> 27)) * 0x94d049bb133111ebULL;
    it ^= it >> 31;
    return static_cast<double>(it >> 11) * kRandomScale;
  }

 private:
  uint64_t state_;
};

/** The two cheapest candidates of a level. */
struct Cheapest {
  size_t first = 0;
  size_t second = 0;
  double first_cost = 0;
  double second_cost = 0;
  size_t count = 0;
  Duration first_penalty{};
  Duration second_penalty{};
  /** Least expected time without penalties, of those without a severe one. */
  std::optional<Duration> expected;

  void Add(size_t candidate, double cost, Duration penalty) {
    ++count;
    if (count == 1 || cost < first_cost) {
      second = first;
      second_cost = first_cost;
      second_penalty = first_penalty;
      first = candidate;
      first_cost = cost;
      first_penalty = penalty;
    } else if (count == 2 || cost < second_cost) {
      second = candidate;
      second_cost = cost;
      second_penalty = penalty;
    }
  }
  bool IsSevere() const { return count == 0 || first_penalty >= kSevere; }
  size_t Draw(double random) const {
    if (count == 1 || second_penalty >= first_penalty + kSevere) {
      return first;
    }
    return random * (first_cost + second_cost) < second_cost ? first : second;
  }
};

size_t IndexOf(PlacementLevel level) {
  return static_cast<size_t>(level);
}

Duration GetDistance(const PlacementCandidate& candidate) {
  return candidate.record->response.GetRoundTrip().value_or(
      kAssumedRoundTrips[IndexOf(candidate.level)]);
}

Duration GetPrice(PlacementLevel level, Duration objective) {
  switch (level) {
    case PlacementLevel::kSite:
      return Duration(0);
    case PlacementLevel::kRegion:
      return kRegionPrice;
    case PlacementLevel::kRemote:
      return objective / kRemotePriceDivisor;
  }
  return Duration(0);
}

}  // namespace

ReadPlacement::RouteShares& ReadPlacement::FindShares(Duration objective) {
  const auto it = std::find_if(
      shares_.begin(), shares_.end(),
      [objective](const RouteShares& it) { return it.objective == objective; });
  if (it != shares_.end()) {
    return *it;
  }
  shares_.push_back({objective, {}});
  return shares_.back();
}

Duration ReadPlacement::GetExpected(const PlacementCandidate& candidate,
                                    TimePoint now) const {
  const Duration mean = candidate.record->response.GetMean(
      typical_run_time_ + GetDistance(candidate), now);
  const int64_t ahead =
      static_cast<int64_t>(candidate.running) + candidate.queued + 1;
  const int64_t limit = std::max(1U, candidate.limit);
  return mean * std::max(ahead, limit) / limit;
}

Duration ReadPlacement::GetRunTime(const PlacementCandidate& candidate,
                                   TimePoint now) const {
  const Duration distance = GetDistance(candidate);
  const Duration mean =
      candidate.record->response.GetMean(typical_run_time_ + distance, now);
  return std::max<Duration>(mean - distance, std::chrono::milliseconds(1));
}

std::vector<EjectionChange> ReadPlacement::Review(
    std::span<const PlacementCandidate> candidates,
    TimePoint now) {
  review_at_ = now + kReviewInterval;
  std::vector<EjectionChange> changes;
  std::vector<Duration> run_times;
  size_t ejected = 0;
  double successes = 0;
  double failures = 0;
  for (size_t it = 0; it < candidates.size(); ++it) {
    EndpointRecord& record = *candidates[it].record;
    if (record.ejection.EndIfDue(now)) {
      record.outcomes.Clear();
      changes.push_back({.candidate = it,
                         .is_ejected = false,
                         .expected = GetRunTime(candidates[it], now)});
    }
    ejected += record.ejection.IsEjected() ? 1 : 0;
    successes += record.outcomes.GetSuccesses(now);
    failures += record.outcomes.GetFailures(now);
    if (record.outcomes.GetSuccesses(now) >= 1) {
      run_times.push_back(GetRunTime(candidates[it], now));
    }
  }
  if (!run_times.empty()) {
    const auto middle = run_times.begin() +
                        static_cast<std::ptrdiff_t>((run_times.size() - 1) / 2);
    std::nth_element(run_times.begin(), middle, run_times.end());
    typical_run_time_ = *middle;
  }
  const size_t max_ejected = candidates.size() / kEndpointsPerEjection;
  std::optional<EjectionChange> worst;
  double worst_score = 0;
  for (size_t it = 0; ejected < max_ejected && it < candidates.size(); ++it) {
    const EndpointRecord& record = *candidates[it].record;
    const double good = record.outcomes.GetSuccesses(now);
    const double bad = record.outcomes.GetFailures(now);
    if (record.ejection.IsEjected() || good + bad < kMinOutcomes) {
      continue;
    }
    const double share = bad / (good + bad);
    const double other_count = successes + failures - good - bad;
    const double other_share =
        other_count < kMinOutcomes ? 0 : (failures - bad) / other_count;
    EjectionChange change{.candidate = it,
                          .is_ejected = true,
                          .failures = bad,
                          .successes = good,
                          .expected = GetRunTime(candidates[it], now)};
    Duration sum{};
    int count = 0;
    for (size_t other = 0; other < candidates.size(); ++other) {
      const PlacementCandidate& compared = candidates[other];
      if (other != it && compared.level == candidates[it].level &&
          compared.record->outcomes.GetSuccesses(now) >= kMinOutcomes) {
        sum += GetRunTime(compared, now);
        ++count;
      }
    }
    change.others = count == 0 ? Duration(0) : sum / count;
    const bool fails = bad >= kMinFailures && share >= kMinFailureShare &&
                       share >= kFailureFactor * other_share;
    const bool is_slow = count > 0 &&
                         change.expected > kSlowFactor * change.others &&
                         change.expected - change.others > kMinSlowExcess;
    const double score = fails ? 1 + share : is_slow ? 1 : 0;
    if (score > worst_score) {
      worst_score = score;
      worst = change;
    }
  }
  if (worst) {
    EndpointRecord& record = *candidates[worst->candidate].record;
    record.ejection.Eject(now);
    record.outcomes.Clear();
    changes.push_back(*worst);
  }
  return changes;
}

size_t ReadPlacement::Choose(std::span<const PlacementCandidate> candidates,
                             Duration objective,
                             TimePoint now,
                             uint64_t random) {
  RandomSequence sequence(random);
  std::array<Cheapest, kPlacementLevelCount> levels;
  for (size_t it = 0; it < candidates.size(); ++it) {
    const PlacementCandidate& candidate = candidates[it];
    const Duration expected = GetExpected(candidate, now);
    Duration penalty = candidate.penalty;
    if (candidate.record->ejection.IsEjected()) {
      penalty += kEjectedPenalty;
    }
    const Duration silence =
        candidate.record->response.GetSilence(candidate.running, now);
    const double variation = 1 + kCostVariation * (2 * sequence.Next() - 1);
    const double cost =
        std::max(kMinCostUs,
                 variation *
                     static_cast<double>(std::max(expected, silence).count())) +
        static_cast<double>(
            (penalty + GetPrice(candidate.level, objective)).count());
    Cheapest& level = levels[IndexOf(candidate.level)];
    level.Add(it, cost, penalty);
    if (penalty < kSevere && (!level.expected || expected < *level.expected)) {
      level.expected = expected;
    }
  }
  RouteShares& shares = FindShares(objective);
  const Cheapest* chosen = nullptr;
  bool may_leave = true;
  for (size_t it = 0; it < kPlacementLevelCount; ++it) {
    const Cheapest& level = levels[it];
    SpilloverShare& share = shares.levels[it];
    if (level.expected) {
      share.Update(*level.expected, objective / kServeBoundDivisor, now);
    }
    if (!may_leave || level.count == 0) {
      continue;
    }
    // A read that may leave a level goes to the cheapest one. Otherwise all VMs
    // would send too many away while the measured times still fall.
    if (chosen == nullptr || level.first_cost < chosen->first_cost) {
      chosen = &level;
    }
    // A level whose endpoints are all behind, failed or ejected holds no reads.
    may_leave = level.IsSevere() || sequence.Next() < share.Get();
  }
  if (chosen == nullptr) {
    return candidates.size();
  }
  const size_t index = chosen->Draw(sequence.Next());
  // One read probes an ejected endpoint, unless it is further away.
  for (size_t it = 0; it < candidates.size(); ++it) {
    Ejection& ejection = candidates[it].record->ejection;
    if (candidates[it].level <= candidates[index].level &&
        candidates[it].penalty < kSevere && ejection.IsProbeDue(now)) {
      ejection.RecordProbe(now);
      return it;
    }
  }
  return index;
}

double ReadPlacement::GetSpilloverShare(PlacementLevel level) const {
  double share = 0;
  for (const RouteShares& it : shares_) {
    share = std::max(share, it.levels[IndexOf(level)].Get());
  }
  return share;
}

}  // namespace magnoliareel
