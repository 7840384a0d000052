#ifndef MAGNOLIAREEL_TESTS_TRAFFIC_EVENT_QUEUE_H_
#define MAGNOLIAREEL_TESTS_TRAFFIC_EVENT_QUEUE_H_

#include <functional>
#include <map>
#include <utility>

#include "core/core.h"

namespace magnoliareel {

/** Runs tasks in the order of their due times under virtual time. */
class EventQueue {
 public:
  /** @returns the current virtual time */
  TimePoint Now() const { return now_; }
  /** Schedules a task.

      @param delay  from the current time
      @param task   called once after the delay
  */
  void After(Duration delay, std::function<void()> task) {
    tasks_.emplace(now_ + delay, std::move(task));
  }
  /** Runs every task that is due up to a moment, and sets the time to it. */
  void RunUntil(TimePoint end) {
    while (!tasks_.empty() && tasks_.begin()->first <= end) {
      auto node = tasks_.extract(tasks_.begin());
      now_ = node.key();
      node.mapped()();
    }
    now_ = end;
  }

 private:
  TimePoint now_{std::chrono::seconds(100)};
  std::multimap<TimePoint, std::function<void()>> tasks_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_TRAFFIC_EVENT_QUEUE_H_
