#ifndef MAGNOLIAREEL_NET_LOOP_LOOP_TIMER_H_
#define MAGNOLIAREEL_NET_LOOP_LOOP_TIMER_H_

#include <functional>

#include "net/loop/event_loop.h"

namespace magnoliareel {

/** Calls a function later, on the loop's thread. @see EventLoop */
class LoopTimer {
 public:
  /** @param loop  outlives the timer
      @param task  what to call
  */
  LoopTimer(EventLoop& loop, std::function<void()> task);
  ~LoopTimer();
  LoopTimer(const LoopTimer&) = delete;
  LoopTimer& operator=(const LoopTimer&) = delete;

  /** Calls once; replaces what was planned.

      @param delay  least time until the call
  */
  void StartOnce(Duration delay);
  /** Calls again and again; replaces what was planned.

      @param period  time between calls
  */
  void StartRepeating(Duration period);
  /** Plans nothing. */
  void Stop();

 private:
  struct State {
    uv_timer_t handle{};
    std::function<void()> task;
  };

  void Start(Duration delay, Duration period);

  State* state_;
};

/** Calls a function once, later.

    @param loop   serves the call
    @param delay  least time until then
    @param task   what to call
    @see LoopTimer
*/
void RunLater(EventLoop& loop, Duration delay, std::function<void()> task);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_NET_LOOP_LOOP_TIMER_H_
