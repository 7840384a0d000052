#ifndef MAGNOLIAREEL_TESTS_TRAFFIC_EVENT_QUEUE_H_
#define MAGNOLIAREEL_TESTS_TRAFFIC_EVENT_QUEUE_H_

#include <functional>
#include <map>
#include <utility>

#include "core/core.h"

namespace magnoliareel {

/** Runs functions in the order of their moments, under virtual time. */
class EventQueue {
 public:
  /** @returns the present moment */
  TimePoint Now() const { return now_; }
  /** @param delay  from now
      @param task   runs then
  */
  void After(Duration delay, std::function<void()> task) {
    tasks_.emplace(now_ + delay, std::move(task));
  }
  /** Runs everything up to a moment. */
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
