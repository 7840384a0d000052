#ifndef MAGNOLIAREEL_POOLER_GROUPS_CONDITION_WAIT_LIST_H_
#define MAGNOLIAREEL_POOLER_GROUPS_CONDITION_WAIT_LIST_H_

#include <functional>
#include <list>
#include <utility>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** List of requests that wait until a condition holds or a deadline passes. */
class ConditionWaitList {
 public:
  /** Returns whether the request can proceed. */
  using Condition = std::function<bool()>;
  /** Receives true if the condition was met, false if the deadline passed. */
  using Completion = std::function<void(bool)>;

  /** Adds a request.

      @param condition  evaluated at each Check()
      @param deadline   time at which the wait ends
      @param done       called once, from Check()
  */
  void Add(Condition condition, TimePoint deadline, Completion done) {
    waiting_.push_back({std::move(condition), deadline, std::move(done)});
  }

  /** Completes the requests whose condition holds or whose deadline has passed.

      @param now  current time
  */
  void Check(TimePoint now) {
    std::vector<std::pair<Completion, bool>> finished;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      const bool is_met = it->condition();
      if (is_met || it->deadline <= now) {
        finished.emplace_back(std::move(it->done), is_met);
        it = waiting_.erase(it);
      } else {
        ++it;
      }
    }
    for (const auto& [done, is_met] : finished) {
      done(is_met);
    }
  }

  /** @returns the number of waiting requests */
  size_t GetSize() const { return waiting_.size(); }

 private:
  struct Waiting {
    Condition condition;
    TimePoint deadline;
    Completion done;
  };

  std::list<Waiting> waiting_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_GROUPS_CONDITION_WAIT_LIST_H_
