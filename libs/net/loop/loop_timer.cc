#include "net/loop/loop_timer.h"

#include <memory>
#include <utility>

namespace magnoliareel {
namespace {

// libuv counts in whole milliseconds and rounds the current time down. The
// extra millisecond keeps a timer from firing early: code that compares the
// clock with a deadline would find the deadline not reached, not restart the
// timer, and wait forever.
uint64_t ToMilliseconds(Duration span) {
  if (span <= Duration(0)) {
    return 0;
  }
  return static_cast<uint64_t>((span.count() + 999) / 1000 + 1);
}

}  // namespace

LoopTimer::LoopTimer(EventLoop& loop, std::function<void()> task)
    : state_(new State) {
  state_->task = std::move(task);
  state_->handle.data = state_;
  uv_timer_init(loop.GetHandle(), &state_->handle);
}

LoopTimer::~LoopTimer() {
  uv_timer_stop(&state_->handle);
  uv_close(
      reinterpret_cast<uv_handle_t*>(&state_->handle),
      [](uv_handle_t* handle) { delete static_cast<State*>(handle->data); });
}

void LoopTimer::StartOnce(Duration delay) {
  Start(delay, Duration(0));
}

void LoopTimer::StartRepeating(Duration period) {
  Start(period, period);
}

void LoopTimer::Stop() {
  uv_timer_stop(&state_->handle);
}

void LoopTimer::Start(Duration delay, Duration period) {
  uv_update_time(state_->handle.loop);
  uv_timer_start(
      &state_->handle,
      [](uv_timer_t* handle) { static_cast<State*>(handle->data)->task(); },
      ToMilliseconds(delay), ToMilliseconds(period));
}

void RunLater(EventLoop& loop, Duration delay, std::function<void()> task) {
  auto timer = std::make_shared<std::unique_ptr<LoopTimer>>();
  *timer =
      std::make_unique<LoopTimer>(loop, [&loop, timer, task = std::move(task)] {
        task();
        // The timer owns the running function, so it is freed after the call.
        loop.Defer([timer] { timer->reset(); });
      });
  (*timer)->StartOnce(delay);
}

}  // namespace magnoliareel
