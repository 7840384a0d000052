#include "tests/interleavings/path_search.h"

#include <algorithm>
#include <utility>

namespace magnoliareel {
namespace {

/** @returns the faults of the path before an event */
std::vector<Fault> SelectFaults(const Path& path, uint32_t point) {
  std::vector<Fault> list;
  for (const Deviation& it : path) {
    if (it.point == point) {
      list.push_back(it.fault);
    }
  }
  return list;
}

}  // namespace

PathSearch::PathSearch(const SearchOptions& options,
                       std::vector<TimedFault> start)
    : options_(options), start_(std::move(start)) {}

RunOutcome PathSearch::RunPath(const Path& path, bool may_deviate) {
  found_.clear();
  uint32_t next = 0;
  const uint32_t last = path.empty() ? 0 : path.back().point;
  const auto choose =
      [&](SearchWorld& world,
          const ChoicePoint& point) -> std::optional<std::vector<Fault>> {
    const uint32_t number = next++;
    std::vector<Fault> faults = SelectFaults(path, number);
    // Faults before the same event are injected in all orders.
    if (path.empty() || number > last) {
      if (!known_.insert(world.HashState(point)).second) {
        return std::nullopt;
      }
    }
    if (may_deviate && number >= last) {
      found_.push_back({number, world.ListFaults(point)});
    }
    return faults;
  };
  SearchWorld world(options_, choose, start_);
  const RunOutcome outcome = world.Run();
  ++report_.runs;
  report_.pruned += outcome == RunOutcome::kPruned ? 1 : 0;
  report_.waiting += outcome == RunOutcome::kWaitsForPerson ? 1 : 0;
  report_.points = std::max<size_t>(report_.points, next);
  return outcome;
}

SearchReport PathSearch::Run(size_t max_failures) {
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
    const RunOutcome outcome = RunPath(path, path.size() < options_.depth);
    if (outcome == RunOutcome::kLost || outcome == RunOutcome::kNoPrimary) {
      report_.failures.push_back({path, outcome});
      if (report_.failures.size() >= max_failures) {
        report_.completed_depth = path.empty() ? 0 : path.size() - 1;
        break;
      }
      // A longer path that contains this one fails in the same way.
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
  const auto choose =
      [&](SearchWorld& world,
          const ChoicePoint&) -> std::optional<std::vector<Fault>> {
    if (next == 0) {
      world.StartTimeline();
    }
    return SelectFaults(path, next++);
  };
  SearchWorld world(options_, choose, start_);
  world.StartTimeline();
  world.Run();
  return world.GetTimeline();
}

}  // namespace magnoliareel
