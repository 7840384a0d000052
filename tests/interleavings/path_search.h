#ifndef MAGNOLIAREEL_TESTS_INTERLEAVINGS_PATH_SEARCH_H_
#define MAGNOLIAREEL_TESTS_INTERLEAVINGS_PATH_SEARCH_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "tests/interleavings/search_world.h"

namespace magnoliareel {

/** A fault before the event with the given number of a run. */
struct Deviation {
  uint32_t point = 0;
  Fault fault;
};

/** The deviations of a run from the default one, in their order. */
using Path = std::vector<Deviation>;

/** What a search has looked at and found. */
struct SearchReport {
  /** Number of different states before an event at which faults may occur. */
  size_t states = 0;
  /** Number of runs from the start. */
  size_t runs = 0;
  /** Number of runs that ended with each outcome. */
  std::map<RunOutcome, size_t> outcomes;
  /** Highest number of events in a run at which faults may occur. */
  size_t points = 0;
  /** Number of faults up to which every path was run. */
  size_t completed_depth = 0;
  /** The search ended at SearchOptions::max_runs. */
  bool is_truncated = false;
  /** The paths that ended with the outcome that was looked for, in the order in
      which they were found. */
  std::vector<Path> failures;
};

/** Runs every path with up to a number of faults, those with fewer faults
    first, so that the first failure is a shortest one.

    The decision code can't be copied, so each path is run from the start. A run
    ends when it reaches a state that another run has been in with no more
    faults: what follows was run from there.
*/
class PathSearch {
 public:
  /** @param options  bounds and times
      @param start    faults that all paths have in common */
  PathSearch(const SearchOptions& options, std::vector<TimedFault> start);

  /** Searches until the depth is reached or enough paths were found.

      @param outcome    the outcome to look for
      @param max_found  number of paths with it after which the search ends */
  SearchReport Run(RunOutcome outcome, size_t max_found);
  /** Runs one path again.

      @returns its events, each with its time */
  std::vector<std::string> ListEvents(const Path& path) const;

 private:
  struct Found {
    uint32_t point = 0;
    std::vector<Fault> faults;
  };

  RunOutcome RunPath(const Path& path, bool may_deviate);

  const SearchOptions options_;
  const std::vector<TimedFault> start_;
  std::unordered_set<uint64_t> known_;
  std::vector<Found> found_;
  SearchReport report_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_INTERLEAVINGS_PATH_SEARCH_H_
