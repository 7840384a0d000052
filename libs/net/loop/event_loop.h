#ifndef MAGNOLIAREEL_NET_LOOP_EVENT_LOOP_H_
#define MAGNOLIAREEL_NET_LOOP_EVENT_LOOP_H_

#include <uv.h>

#include <functional>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** The event loop of one thread. The thread blocks in the kernel while no event
    is ready.

    A loop may be constructed on another thread; all other calls must be made on
    the thread that calls Run().

    @see LoopTimer, Mailbox, Stream
*/
class EventLoop {
 public:
  EventLoop();
  /** Closes the handles that are still open on the loop. */
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Dispatches events until Stop() is called. */
  void Run();
  /** Makes Run() return after the current iteration of the loop. */
  void Stop();
  /** Runs a function once, after the events that are ready have been handled.

      @param task  runs on the loop's thread; must not throw
  */
  void Defer(std::function<void()> task);

  /** Calls a function each time the process receives a signal.

      @param signal  number of the signal, such as SIGTERM
      @param task    runs on the loop's thread
  */
  void OnSignal(int signal, std::function<void()> task);

  /** @returns the current time, which includes time in suspend */
  TimePoint Now() const { return clock_.Now(); }
  /** @returns libuv's loop, for the classes of this module */
  uv_loop_t* GetHandle() { return &loop_; }

 private:
  struct SignalWatch;

  void RunDeferred();

  uv_loop_t loop_{};
  uv_check_t deferred_check_{};
  uv_idle_t deferred_idle_{};
  std::vector<std::function<void()>> deferred_;
  std::vector<SignalWatch*> signals_;
  BootClock clock_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_NET_LOOP_EVENT_LOOP_H_
