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

/** A simulated process under virtual time, used as an Executor. Its tasks are
    dropped once it is killed, and deferred while it is frozen. */
class SimNode {
 public:
  /** @param executor  runs every process; outlives this object
      @param name      identifies the process in network partitions
  */
  SimNode(ManualExecutor& executor, std::string name)
      : executor_(executor), name_(std::move(name)) {}

  TimePoint Now() const { return executor_.Now(); }
  void Post(Task task) { executor_.Post(WrapTask(std::move(task))); }
  bool TryPost(Task task) {
    Post(std::move(task));
    return true;
  }
  void After(Duration delay, Task task) {
    executor_.After(delay, WrapTask(std::move(task)));
  }

  const std::string& GetName() const { return name_; }
  bool IsDead() const { return is_dead_; }
  bool IsFrozen() const { return is_frozen_; }

  /** Ends the process; callers of calls in progress see a connection reset. */
  void Kill() {
    is_dead_ = true;
    deferred_tasks_.clear();
    for (auto& [id, handler] : std::exchange(reset_handlers_, {})) {
      executor_.Post(handler);
    }
  }
  /** Defers all tasks until Thaw(). */
  void Freeze() { is_frozen_ = true; }
  /** Runs the deferred tasks and continues. */
  void Thaw() {
    is_frozen_ = false;
    for (Task& it : std::exchange(deferred_tasks_, {})) {
      Post(std::move(it));
    }
  }

  /** Registers a handler that runs if the process ends during a call.

      @returns an id for RemoveResetHandler()
  */
  uint64_t AddResetHandler(Task handler) {
    reset_handlers_.emplace(next_reset_id_, std::move(handler));
    return next_reset_id_++;
  }
  void RemoveResetHandler(uint64_t id) { reset_handlers_.erase(id); }

 private:
  Task WrapTask(Task task) {
    return [this, task = std::move(task)] {
      if (is_dead_) {
        return;
      }
      if (is_frozen_) {
        deferred_tasks_.push_back(task);
      } else {
        task();
      }
    };
  }

  ManualExecutor& executor_;
  const std::string name_;
  bool is_dead_ = false;
  bool is_frozen_ = false;
  std::deque<Task> deferred_tasks_;
  std::map<uint64_t, Task> reset_handlers_;
  uint64_t next_reset_id_ = 1;
};

static_assert(Executor<SimNode>);

}  // namespace magnoliareel::sim

#endif  // MAGNOLIAREEL_TESTS_SIMULATION_SIM_NODE_H_
