#ifndef MAGNOLIAREEL_POOL_SCHEDULING_QUEUED_WORK_H_
#define MAGNOLIAREEL_POOL_SCHEDULING_QUEUED_WORK_H_

#include <concepts>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** A statement waiting for a slot. */
struct QueuedWork {
  /** Identifier, unique within the scheduler. */
  uint64_t id = 0;
  /** The caller that sent the statement. */
  CallerId caller;
  /** Class declared by the caller or estimated from earlier runs. */
  WorkClass work_class = WorkClass::kShort;
  /** True if the statement belongs to an open transaction, which already holds
      a connection. */
  bool is_continuation = false;
  /** Time of arrival. */
  TimePoint arrived;
  /** Deadline of the statement. */
  TimePoint deadline;
};

/** Restrictions on which queued work may be started. */
struct StartLimits {
  /** True if long work may start. */
  bool allow_long = true;
  /** True if work that needs a connection from the pool may start; false limits
      the choice to continuations. */
  bool allow_new = true;
};

/** A queue that defines the order in which waiting work is started.

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
