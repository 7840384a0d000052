#include "pool/scheduling/fifo_queue.h"

#include <algorithm>
#include <iterator>

namespace magnoliareel {

void FifoQueue::Push(QueuedWork work) {
  work_.push_back(std::move(work));
}

std::optional<QueuedWork> FifoQueue::Pop(StartLimits limits) {
  if (work_.empty() || (!limits.allow_new && !work_.front().is_continuation)) {
    return std::nullopt;
  }
  QueuedWork work = std::move(work_.front());
  work_.pop_front();
  return work;
}

std::vector<QueuedWork> FifoQueue::TakeExpired(TimePoint now) {
  const auto expired = std::stable_partition(
      work_.begin(), work_.end(),
      [now](const QueuedWork& queued) { return queued.deadline > now; });
  std::vector<QueuedWork> taken(std::make_move_iterator(expired),
                                std::make_move_iterator(work_.end()));
  work_.erase(expired, work_.end());
  return taken;
}

}  // namespace magnoliareel
