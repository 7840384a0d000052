#ifndef MAGNOLIAREEL_NET_LOOP_LOOP_TIMER_H_
#define MAGNOLIAREEL_NET_LOOP_LOOP_TIMER_H_

#include <functional>

#include "net/loop/event_loop.h"

namespace magnoliareel {

/** Calls a function after a delay or periodically, on the loop's thread.

    @see EventLoop
*/
class LoopTimer {
 public:
  /** @param loop  outlives the timer
      @param task  called when the timer fires
  */
  LoopTimer(EventLoop& loop, std::function<void()> task);
  ~LoopTimer();
  LoopTimer(const LoopTimer&) = delete;
  LoopTimer& operator=(const LoopTimer&) = delete;

  /** Starts the timer for one call; replaces an earlier start.

      @param delay  minimum time until the call
  */
  void StartOnce(Duration delay);
  /** Starts the timer for periodic calls; replaces an earlier start.

      @param period  time between calls
  */
  void StartRepeating(Duration period);
  /** Stops the timer; no further calls until it is started again. */
  void Stop();

 private:
  struct State {
    uv_timer_t handle{};
    std::function<void()> task;
  };

  void Start(Duration delay, Duration period);

  State* state_;
};

/** Calls a function once after a delay. The call cannot be cancelled.

    @param loop   runs the task on its thread
    @param delay  minimum time until the call
    @param task   the function to call
    @see LoopTimer
*/
void RunLater(EventLoop& loop, Duration delay, std::function<void()> task);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_NET_LOOP_LOOP_TIMER_H_
