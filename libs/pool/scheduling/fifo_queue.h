#ifndef MAGNOLIAREEL_POOL_SCHEDULING_FIFO_QUEUE_H_
#define MAGNOLIAREEL_POOL_SCHEDULING_FIFO_QUEUE_H_

#include <deque>
#include <optional>
#include <vector>

#include "pool/scheduling/queued_work.h"

namespace magnoliareel {

/** Starts work in order of arrival regardless of its class; baseline for
    experiments.

    @see WorkQueue
*/
class FifoQueue {
 public:
  /** Appends work. @param work  the work to queue */
  void Push(QueuedWork work);
  /** Removes the work that has waited longest.

      @param limits  restrictions; allow_long is ignored
      @returns       the work, or nullopt if the queue is empty or its first
                     work may not start
  */
  std::optional<QueuedWork> Pop(StartLimits limits);
  /** Removes the work whose deadline has passed.

      @param now  current time
      @returns    the removed work
  */
  std::vector<QueuedWork> TakeExpired(TimePoint now);
  /** @returns number of queued statements */
  size_t GetSize() const { return work_.size(); }

 private:
  std::deque<QueuedWork> work_;
};

static_assert(WorkQueue<FifoQueue>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOL_SCHEDULING_FIFO_QUEUE_H_
