#ifndef MAGNOLIAREEL_TESTS_SIMULATION_SIM_NODE_H_
#define MAGNOLIAREEL_TESTS_SIMULATION_SIM_NODE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"

namespace magnoliareel::sim {

/** One process under virtual time: it can die or be frozen, and its tasks then
    are dropped or kept. An Executor. */
class SimNode {
 public:
  /** @param world  runs every process  @param name  for cuts */
  SimNode(ManualExecutor& world, std::string name)
      : world_(world), name_(std::move(name)) {}

  TimePoint Now() const { return world_.Now(); }
  void Post(Task task) { world_.Post(Guard(std::move(task))); }
  bool TryPost(Task task) {
    Post(std::move(task));
    return true;
  }
  void After(Duration delay, Task task) {
    world_.After(delay, Guard(std::move(task)));
  }

  const std::string& GetName() const { return name_; }
  bool IsDead() const { return is_dead_; }
  bool IsFrozen() const { return is_frozen_; }

  /** Ends the process; calls in progress at it are answered with a reset. */
  void Kill() {
    is_dead_ = true;
    backlog_.clear();
    for (auto& [id, reset] : std::exchange(resets_, {})) {
      world_.Post(reset);
    }
  }
  void Freeze() { is_frozen_ = true; }
  void Thaw() {
    is_frozen_ = false;
    for (Task& it : std::exchange(backlog_, {})) {
      Post(std::move(it));
    }
  }

  /** Registers what happens to a call in progress when the process dies. */
  uint64_t AddReset(Task reset) {
    resets_.emplace(next_reset_, std::move(reset));
    return next_reset_++;
  }
  void RemoveReset(uint64_t id) { resets_.erase(id); }

 private:
  Task Guard(Task task) {
    return [this, task = std::move(task)] {
      if (is_dead_) {
        return;
      }
      if (is_frozen_) {
        backlog_.push_back(task);
      } else {
        task();
      }
    };
  }

  ManualExecutor& world_;
  const std::string name_;
  bool is_dead_ = false;
  bool is_frozen_ = false;
  std::deque<Task> backlog_;
  std::map<uint64_t, Task> resets_;
  uint64_t next_reset_ = 1;
};

static_assert(Executor<SimNode>);

}  // namespace magnoliareel::sim

#endif  // MAGNOLIAREEL_TESTS_SIMULATION_SIM_NODE_H_
