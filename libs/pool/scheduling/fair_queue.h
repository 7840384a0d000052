#ifndef MAGNOLIAREEL_POOL_SCHEDULING_FAIR_QUEUE_H_
#define MAGNOLIAREEL_POOL_SCHEDULING_FAIR_QUEUE_H_

#include <array>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "pool/scheduling/queued_work.h"

namespace magnoliareel {

/** Starts continuations of transactions first, then short work, then long
    work. Within each of these, callers are served round-robin.

    To prevent starvation, at most kMaxLongWorkSkips short statements in a row
    start ahead of long work that could have started.

    @see WorkQueue
*/
class FairQueue {
 public:
  /** Maximum number of consecutive short statements that start while a long
      statement could have started. */
  static constexpr int kMaxLongWorkSkips = 16;

  /** Adds work. @param work  the work to queue */
  void Push(QueuedWork work);
  /** Removes the work to start next.

      @param limits  restrictions on the work that may start
      @returns       the work, or nullopt if none may start
  */
  std::optional<QueuedWork> Pop(StartLimits limits);
  /** Removes the work whose deadline has passed.

      @param now  current time
      @returns    the removed work
  */
  std::vector<QueuedWork> TakeExpired(TimePoint now);
  /** @returns number of queued statements */
  size_t GetSize() const { return size_; }

 private:
  /** Work of one kind in a queue per caller; Pop() serves the callers
      round-robin. */
  class RoundRobinQueue {
   public:
    void Push(QueuedWork work);
    std::optional<QueuedWork> Pop();
    void TakeExpired(TimePoint now, std::vector<QueuedWork>& out);
    bool IsEmpty() const { return caller_queues_.empty(); }

   private:
    struct CallerQueue {
      CallerId caller;
      std::deque<QueuedWork> work;
    };
    std::list<CallerQueue> caller_queues_;
    std::unordered_map<CallerId, std::list<CallerQueue>::iterator>
        queue_by_caller_;
  };

  std::optional<QueuedWork> PopNew(bool allow_long);

  RoundRobinQueue continuations_;
  RoundRobinQueue short_work_;
  RoundRobinQueue long_work_;
  size_t size_ = 0;
  int long_work_skips_ = 0;
};

static_assert(WorkQueue<FairQueue>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOL_SCHEDULING_FAIR_QUEUE_H_
