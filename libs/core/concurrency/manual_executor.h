#ifndef MAGNOLIAREEL_CORE_CONCURRENCY_MANUAL_EXECUTOR_H_
#define MAGNOLIAREEL_CORE_CONCURRENCY_MANUAL_EXECUTOR_H_

#include <deque>
#include <map>
#include <utility>

#include "core/concurrency/executor.h"
#include "core/time/virtual_clock.h"

namespace magnoliareel {

/** An executor on virtual time that its owner drives. For tests and in-process
    measurements.

    @see Executor
*/
class ManualExecutor {
 public:
  /** @returns the current virtual time */
  TimePoint Now() const { return clock_.Now(); }
  /** Queues a task.

      @param task  runs in RunReady()
  */
  void Post(Task task) { tasks_.push_back(std::move(task)); }
  /** Queues a task; the queue has no limit.

      @param task  runs in RunReady()
      @returns     true
  */
  bool TryPost(Task task) {
    Post(std::move(task));
    return true;
  }
  /** Queues a task that runs after a delay.

      @param delay  virtual time until the task runs
      @param task   runs in Advance()
  */
  void After(Duration delay, Task task) {
    timers_.emplace(Now() + delay, std::move(task));
  }

  /** Runs queued tasks until the queue is empty. */
  void RunReady() {
    while (!tasks_.empty()) {
      Task task = std::move(tasks_.front());
      tasks_.pop_front();
      task();
    }
  }

  /** Advances the clock and runs each delayed task when it is due.

      @param duration  virtual time to advance by
  */
  void Advance(Duration duration) {
    const TimePoint end = Now() + duration;
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
