#ifndef MAGNOLIAREEL_CORE_CONCURRENCY_CONTROL_LOOP_H_
#define MAGNOLIAREEL_CORE_CONCURRENCY_CONTROL_LOOP_H_

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

#include "core/concurrency/executor.h"
#include "core/time/steady_clock.h"

namespace magnoliareel {

/** The single thread that owns the control state of a process.

    Other threads post tasks to it. The thread sleeps while there are none.

    @see Executor, Snapshot
*/
class ControlLoop {
 public:
  /** @param capacity  number of queued tasks at which TryPost() refuses more */
  explicit ControlLoop(size_t capacity);
  /** Calls Stop(). */
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  /** @returns the current time */
  TimePoint Now() const { return clock_.Now(); }

  /** Queues a task regardless of the capacity. Meant for the completion of work
      that was admitted earlier, so that the admitted work bounds the queue.

      @param task  runs on the control thread; dropped after Stop()
  */
  void Post(Task task);

  /** Queues a task for new work.

      @param task  runs on the control thread
      @returns     false if the queue is full or the loop has stopped; the task
                   is dropped then
  */
  bool TryPost(Task task);

  /** Queues a task that runs after a delay.

      @param delay  minimum time until the task runs
      @param task   runs on the control thread
  */
  void After(Duration delay, Task task);

  /** Stops the thread after the task that is running, and drops queued tasks.
      Must not be called on the control thread.
  */
  void Stop();

 private:
  void Run();

  const size_t capacity_;
  SteadyClock clock_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Task> tasks_;
  std::multimap<TimePoint, Task> timers_;
  bool stopped_ = false;
  std::thread thread_;
};

static_assert(Executor<ControlLoop>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_CONCURRENCY_CONTROL_LOOP_H_
