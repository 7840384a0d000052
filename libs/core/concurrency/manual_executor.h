#ifndef MAGNOLIAREEL_CORE_CONCURRENCY_MANUAL_EXECUTOR_H_
#define MAGNOLIAREEL_CORE_CONCURRENCY_MANUAL_EXECUTOR_H_

#include <deque>
#include <map>
#include <utility>

#include "core/concurrency/executor.h"
#include "core/time/virtual_clock.h"

namespace magnoliareel {

/** An executor under virtual time, driven by its owner; for tests and
    in-process measurements.

    @see Executor
*/
class ManualExecutor {
 public:
  /** @returns the present virtual moment */
  TimePoint Now() const { return clock_.Now(); }
  /** Queues a task. @param task  runs in RunReady() */
  void Post(Task task) { tasks_.push_back(std::move(task)); }
  /** Queues a task. @param task  runs in RunReady()  @returns true */
  bool TryPost(Task task) {
    Post(std::move(task));
    return true;
  }
  /** Queues a task for later. @param delay  virtual time  @param task  runs
   * then */
  void After(Duration delay, Task task) {
    timers_.emplace(Now() + delay, std::move(task));
  }

  /** Runs queued tasks until none is left. */
  void RunReady() {
    while (!tasks_.empty()) {
      Task task = std::move(tasks_.front());
      tasks_.pop_front();
      task();
    }
  }

  /** Moves the clock forward, running each timer at its moment.

      @param span  virtual time to pass
  */
  void Advance(Duration span) {
    const TimePoint end = Now() + span;
    RunReady();
    while (!timers_.empty() && timers_.begin()->first <= end) {
      auto node = timers_.extract(timers_.begin());
      clock_.AdvanceTo(node.key());
      node.mapped()();
      RunReady();
    }
    clock_.AdvanceTo(end);
  }

 private:
  VirtualClock clock_;
  std::deque<Task> tasks_;
  std::multimap<TimePoint, Task> timers_;
};

static_assert(Executor<ManualExecutor>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_CONCURRENCY_MANUAL_EXECUTOR_H_
