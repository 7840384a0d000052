#include "net/loop/loop_timer.h"

#include <algorithm>
#include <utility>

namespace magnoliareel {
namespace {

// libuv counts in whole milliseconds; rounding up keeps a timer from firing
// before its moment.
uint64_t ToMilliseconds(Duration span) {
  return static_cast<uint64_t>(
      std::max<int64_t>(0, (span.count() + 999) / 1000));
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

}  // namespace magnoliareel
