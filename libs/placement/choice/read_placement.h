#ifndef MAGNOLIAREEL_PLACEMENT_CHOICE_READ_PLACEMENT_H_
#define MAGNOLIAREEL_PLACEMENT_CHOICE_READ_PLACEMENT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "core/core.h"
#include "placement/estimates/endpoint_record.h"
#include "placement/spillover/spillover_share.h"

namespace magnoliareel {

/** Distance of an endpoint from this VM, nearest first. */
enum class PlacementLevel { kSite = 0, kRegion = 1, kRemote = 2 };
inline constexpr size_t kPlacementLevelCount = 3;

/** An endpoint that may serve a read. */
struct PlacementCandidate {
  EndpointRecord* record = nullptr;
  PlacementLevel level = PlacementLevel::kSite;
  /** Statements of this VM that run there, that wait for it here, and that may
      run there at a time. */
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t limit = 1;
  /** Cost of what else speaks against it, as waiting time. */
  Duration penalty{};
};

/** An endpoint that was ejected, or that is used again. */
struct EjectionChange {
  /** Index of the candidate. */
  size_t candidate = 0;
  bool is_ejected = false;
  /** Weighted numbers of the outcomes that led to it. */
  double failures = 0;
  double successes = 0;
  /** Expected time there, and the mean of the others that it was compared
      with. */
  Duration expected{};
  Duration others{};
};

/** Chooses the endpoints for the reads of a service. Every VM decides for
   itself from what it has measured. */
class ReadPlacement {
 public:
  /** @returns true if Review() should be called */
  bool IsReviewDue(TimePoint now) const { return now >= review_at_; }
  /** Ejects outliers and ends ejections.

      @param candidates  all endpoints of the service that get new statements
      @param now         the current time
      @returns           what has changed
  */
  std::vector<EjectionChange> Review(
      std::span<const PlacementCandidate> candidates,
      TimePoint now);
  /** Chooses an endpoint for a read. The reads that leave a level are chosen at
      random; so is one of the two cheapest endpoints of a level, weighted by
     the inverse of their cost.

      @param candidates  the endpoints; penalties as of this read
      @param objective   response-time objective of the read's route
      @param now         the current time
      @param random      random bits
      @returns           index of the candidate; their number if there is none
  */
  size_t Choose(std::span<const PlacementCandidate> candidates,
                Duration objective,
                TimePoint now,
                uint64_t random);

  /** @returns the largest share of a route's reads that leaves a level */
  double GetSpilloverShare(PlacementLevel level) const;

 private:
  /** Shares of the routes with an objective, by level. */
  struct RouteShares {
    Duration objective{};
    std::array<SpilloverShare, kPlacementLevelCount> levels;
  };

  RouteShares& FindShares(Duration objective);
  Duration GetExpected(const PlacementCandidate& candidate,
                       TimePoint now) const;
  Duration GetRunTime(const PlacementCandidate& candidate, TimePoint now) const;

  // Run time of an endpoint that was not measured lately.
  Duration typical_run_time_ = std::chrono::milliseconds(25);
  TimePoint review_at_;
  std::vector<RouteShares> shares_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_PLACEMENT_CHOICE_READ_PLACEMENT_H_
