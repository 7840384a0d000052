#ifndef MAGNOLIAREEL_POOL_SCHEDULING_QUEUED_WORK_H_
#define MAGNOLIAREEL_POOL_SCHEDULING_QUEUED_WORK_H_

#include <concepts>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** A statement that waits for a slot. */
struct QueuedWork {
  /** Names it within its scheduler. */
  uint64_t id = 0;
  /** Who asked for it. */
  CallerId caller;
  /** Its class, declared or learned. */
  WorkClass work_class = WorkClass::kShort;
  /** Whether it continues a transaction, which holds a connection already. */
  bool is_continuation = false;
  /** When it arrived. */
  TimePoint arrived;
  /** When it is no longer wanted. */
  TimePoint deadline;
};

/** What may be started at present. */
struct StartLimits {
  /** Whether long work may start. */
  bool allow_long = true;
  /** Whether work may start that needs a connection of the pool. */
  bool allow_new = true;
};

/** An order in which waiting work is started.

    @see FairQueue, FifoQueue, SlotScheduler
*/
template <class T>
concept WorkQueue = requires(T& queue,
                             const T& view,
                             QueuedWork work,
                             StartLimits limits,
                             TimePoint now) {
  queue.Push(std::move(work));
  { queue.Pop(limits) } -> std::same_as<std::optional<QueuedWork>>;
  { queue.TakeExpired(now) } -> std::same_as<std::vector<QueuedWork>>;
  { view.GetSize() } -> std::same_as<size_t>;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOL_SCHEDULING_QUEUED_WORK_H_
