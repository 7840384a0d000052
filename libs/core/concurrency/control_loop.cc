#include "core/concurrency/control_loop.h"

#include <cassert>
#include <utility>

namespace magnoliareel {

ControlLoop::ControlLoop(size_t capacity)
    : capacity_(capacity), thread_([this] { Run(); }) {}

ControlLoop::~ControlLoop() {
  Stop();
}

void ControlLoop::Post(Task task) {
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) {
      return;
    }
    tasks_.push_back(std::move(task));
  }
  wake_.notify_one();
}

bool ControlLoop::TryPost(Task task) {
  {
    const std::lock_guard lock(mutex_);
    if (stopped_ || tasks_.size() >= capacity_) {
      return false;
    }
    tasks_.push_back(std::move(task));
  }
  wake_.notify_one();
  return true;
}

void ControlLoop::After(Duration delay, Task task) {
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) {
      return;
    }
    timers_.emplace(clock_.Now() + delay, std::move(task));
  }
  wake_.notify_one();
}

void ControlLoop::Stop() {
  assert(std::this_thread::get_id() != thread_.get_id());
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  wake_.notify_one();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ControlLoop::Run() {
  std::unique_lock lock(mutex_);
  while (!stopped_) {
    while (!timers_.empty() && timers_.begin()->first <= clock_.Now()) {
      tasks_.push_back(std::move(timers_.begin()->second));
      timers_.erase(timers_.begin());
    }
    if (tasks_.empty()) {
      if (timers_.empty()) {
        wake_.wait(lock);
      } else {
        wake_.wait_until(lock, timers_.begin()->first);
      }
      continue;
    }
    Task task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
  }
}

}  // namespace magnoliareel
