#include "net/loop/event_loop.h"

#include <cassert>
#include <utility>

namespace magnoliareel {

struct EventLoop::SignalWatch {
  uv_signal_t handle{};
  std::function<void()> task;
};

EventLoop::EventLoop() {
  [[maybe_unused]] int rc = uv_loop_init(&loop_);
  assert(rc == 0);
  uv_check_init(&loop_, &deferred_check_);
  uv_idle_init(&loop_, &deferred_idle_);
  deferred_check_.data = this;
  uv_check_start(&deferred_check_, [](uv_check_t* handle) {
    static_cast<EventLoop*>(handle->data)->RunDeferred();
  });
}

EventLoop::~EventLoop() {
  for (SignalWatch* it : signals_) {
    it->task = nullptr;
  }
  uv_walk(
      &loop_,
      [](uv_handle_t* handle, void*) {
        if (uv_is_closing(handle) == 0) {
          uv_close(handle, nullptr);
        }
      },
      nullptr);
  uv_run(&loop_, UV_RUN_DEFAULT);
  uv_loop_close(&loop_);
  for (SignalWatch* it : signals_) {
    delete it;
  }
}

void EventLoop::Run() {
  uv_run(&loop_, UV_RUN_DEFAULT);
}

void EventLoop::Stop() {
  uv_stop(&loop_);
}

void EventLoop::Defer(std::function<void()> task) {
  if (deferred_.empty()) {
    // While an idle handle is active, libuv polls without blocking.
    uv_idle_start(&deferred_idle_, [](uv_idle_t*) {});
  }
  deferred_.push_back(std::move(task));
}

void EventLoop::RunDeferred() {
  if (deferred_.empty()) {
    return;
  }
  uv_idle_stop(&deferred_idle_);
  std::vector<std::function<void()>> tasks;
  tasks.swap(deferred_);
  for (const auto& it : tasks) {
    it();
  }
}

void EventLoop::OnSignal(int signal, std::function<void()> task) {
  auto* watch = new SignalWatch;
  watch->task = std::move(task);
  watch->handle.data = watch;
  uv_signal_init(&loop_, &watch->handle);
  uv_signal_start(
      &watch->handle,
      [](uv_signal_t* handle, int) {
        static_cast<SignalWatch*>(handle->data)->task();
      },
      signal);
  signals_.push_back(watch);
}

}  // namespace magnoliareel
