#ifndef MAGNOLIAREEL_POOL_SCHEDULING_FIFO_QUEUE_H_
#define MAGNOLIAREEL_POOL_SCHEDULING_FIFO_QUEUE_H_

#include <deque>
#include <optional>
#include <vector>

#include "pool/scheduling/queued_work.h"

namespace magnoliareel {

/** Starts work in the order of arrival, whatever its class; the baseline.

    @see WorkQueue
*/
class FifoQueue {
 public:
  /** Adds work at the end. @param work  what waits */
  void Push(QueuedWork work);
  /** @param limits  what may start; the class is ignored
      @returns       the work that waited longest; nothing if it may not start
   */
  std::optional<QueuedWork> Pop(StartLimits limits);
  /** Removes what is past its deadline. @param now  the present  @returns it */
  std::vector<QueuedWork> TakeExpired(TimePoint now);
  /** @returns how much work waits */
  size_t GetSize() const { return work_.size(); }

 private:
  std::deque<QueuedWork> work_;
};

static_assert(WorkQueue<FifoQueue>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOL_SCHEDULING_FIFO_QUEUE_H_
