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

/** The one thread that owns a process's control state.

    Other threads hand it tasks; it sleeps while it has none.

    @see Executor, Snapshot
*/
class ControlLoop {
 public:
  /** @param capacity  number of waiting tasks at which TryPost() refuses */
  explicit ControlLoop(size_t capacity);
  /** Stops the thread. @see Stop */
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  /** @returns the present moment */
  TimePoint Now() const { return clock_.Now(); }

  /** Hands over a task that must not be refused: the end of work that was
      admitted earlier, which bounds their number.

      @param task  runs on the control thread; dropped after Stop()
  */
  void Post(Task task);

  /** Hands over new work.

      @param task  runs on the control thread
      @returns     false if too many tasks wait or the loop has stopped; the
                   task then never runs
  */
  bool TryPost(Task task);

  /** Runs a task later.

      @param delay  least time until it runs
      @param task   runs on the control thread
  */
  void After(Duration delay, Task task);

  /** Ends the thread after the task that runs now; waiting tasks are dropped.
      Called from any thread but the loop's own.
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
