#include "tests/interleavings/path_search.h"

#include <algorithm>
#include <utility>

namespace magnoliareel {
namespace {

/** Injects the faults of the path before an event. */
void InjectFaults(SearchWorld& world, const Path& path, uint32_t point) {
  for (const Deviation& it : path) {
    if (it.point == point) {
      world.Inject(it.fault);
    }
  }
}

}  // namespace

PathSearch::PathSearch(const SearchOptions& options,
                       std::vector<TimedFault> start)
    : options_(options), start_(std::move(start)) {}

RunOutcome PathSearch::RunPath(const Path& path, bool may_deviate) {
  found_.clear();
  uint32_t next = 0;
  const uint32_t last = path.empty() ? 0 : path.back().point;
  const auto choose = [&](SearchWorld& world, const ChoicePoint& point) {
    const uint32_t number = next++;
    InjectFaults(world, path, number);
    if (number < last) {
      return true;
    }
    if (!known_.insert(world.HashState(point)).second) {
      return false;
    }
    if (may_deviate) {
      found_.push_back({number, world.ListFaults(point)});
    }
    return true;
  };
  SearchWorld world(options_, choose, start_);
  const RunOutcome outcome = world.Run();
  ++report_.runs;
  ++report_.outcomes[outcome];
  report_.points = std::max<size_t>(report_.points, next);
  return outcome;
}

SearchReport PathSearch::Run(RunOutcome outcome, size_t max_found) {
  std::deque<Path> waiting{Path{}};
  report_.completed_depth = options_.depth;
  while (!waiting.empty()) {
    const Path path = std::move(waiting.front());
    waiting.pop_front();
    if (report_.runs >= options_.max_runs) {
      report_.is_truncated = true;
      report_.completed_depth = path.empty() ? 0 : path.size() - 1;
      break;
    }
    if (RunPath(path, path.size() < options_.depth) == outcome) {
      report_.failures.push_back(path);
      if (report_.failures.size() >= max_found) {
        report_.completed_depth = path.empty() ? 0 : path.size() - 1;
        break;
      }
      // A longer path that begins with this one fails in the same way.
      continue;
    }
    for (const Found& it : found_) {
      for (const Fault& fault : it.faults) {
        waiting.push_back(path);
        waiting.back().push_back({it.point, fault});
      }
    }
  }
  report_.states = known_.size();
  return report_;
}

std::vector<std::string> PathSearch::ListEvents(const Path& path) const {
  uint32_t next = 0;
  const auto choose = [&](SearchWorld& world, const ChoicePoint&) {
    InjectFaults(world, path, next++);
    return true;
  };
  SearchWorld world(options_, choose, start_);
  world.StartTimeline();
  world.Run();
  return world.GetTimeline();
}

}  // namespace magnoliareel
