#ifndef MAGNOLIAREEL_NET_LOOP_EVENT_LOOP_H_
#define MAGNOLIAREEL_NET_LOOP_EVENT_LOOP_H_

#include <uv.h>

#include <functional>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** The event loop of one thread. It sleeps in the kernel while it has nothing
    to do.

    Everything but construction happens on the thread that calls Run().

    @see LoopTimer, Mailbox, Stream
*/
class EventLoop {
 public:
  EventLoop();
  /** Closes what is still open on the loop. */
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Serves events until Stop(). */
  void Run();
  /** Ends Run() after the present event. */
  void Stop();
  /** Calls a function once, after the events that are ready now.

      @param task  must not throw
  */
  void Defer(std::function<void()> task);

  /** Calls a function on every SIGTERM or SIGHUP.

      @param signal  the signal's number
      @param task    runs on the loop's thread
  */
  void OnSignal(int signal, std::function<void()> task);

  /** @returns the present moment, suspended time included */
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
