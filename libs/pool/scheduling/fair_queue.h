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
    work; within each, callers take turns.

    Long work is passed over at most kMaxLongWorkSkips times in a row while it
    could have started, so it is never starved.

    @see WorkQueue
*/
class FairQueue {
 public:
  /** Short statements that may start before one long statement that could. */
  static constexpr int kMaxLongWorkSkips = 16;

  /** Adds work. @param work  what waits */
  void Push(QueuedWork work);
  /** Removes the work to start next.

      @param limits  what may start
      @returns       the work; nothing if none may start
  */
  std::optional<QueuedWork> Pop(StartLimits limits);
  /** Removes what is past its deadline. @param now  the present  @returns it */
  std::vector<QueuedWork> TakeExpired(TimePoint now);
  /** @returns how much work waits */
  size_t GetSize() const { return size_; }

 private:
  /** The work of one kind, a queue for each caller; callers take turns. */
  class Turns {
   public:
    void Push(QueuedWork work);
    std::optional<QueuedWork> Pop();
    void TakeExpired(TimePoint now, std::vector<QueuedWork>& out);
    bool IsEmpty() const { return turns_.empty(); }

   private:
    struct CallerQueue {
      CallerId caller;
      std::deque<QueuedWork> work;
    };
    std::list<CallerQueue> turns_;
    std::unordered_map<CallerId, std::list<CallerQueue>::iterator> queues_;
  };

  std::optional<QueuedWork> PopNew(bool allow_long);

  Turns continuations_;
  Turns short_work_;
  Turns long_work_;
  size_t size_ = 0;
  int passed_over_ = 0;
};

static_assert(WorkQueue<FairQueue>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOL_SCHEDULING_FAIR_QUEUE_H_
