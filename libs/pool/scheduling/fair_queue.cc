#include "pool/scheduling/fair_queue.h"

#include <algorithm>
#include <iterator>

namespace magnoliareel {

void FairQueue::RoundRobinQueue::Push(QueuedWork work) {
  auto it = queue_by_caller_.find(work.caller);
  if (it == queue_by_caller_.end()) {
    caller_queues_.push_back({work.caller, {}});
    it = queue_by_caller_.emplace(work.caller, std::prev(caller_queues_.end()))
             .first;
  }
  it->second->work.push_back(std::move(work));
}

std::optional<QueuedWork> FairQueue::RoundRobinQueue::Pop() {
  if (caller_queues_.empty()) {
    return std::nullopt;
  }
  const auto queue = caller_queues_.begin();
  QueuedWork work = std::move(queue->work.front());
  queue->work.pop_front();
  if (queue->work.empty()) {
    queue_by_caller_.erase(queue->caller);
    caller_queues_.erase(queue);
  } else {
    caller_queues_.splice(caller_queues_.end(), caller_queues_, queue);
  }
  return work;
}

void FairQueue::RoundRobinQueue::TakeExpired(TimePoint now,
                                             std::vector<QueuedWork>& out) {
  for (auto queue = caller_queues_.begin(); queue != caller_queues_.end();) {
    auto& work = queue->work;
    const auto expired = std::stable_partition(
        work.begin(), work.end(),
        [now](const QueuedWork& queued) { return queued.deadline > now; });
    std::move(expired, work.end(), std::back_inserter(out));
    work.erase(expired, work.end());
    if (work.empty()) {
      queue_by_caller_.erase(queue->caller);
      queue = caller_queues_.erase(queue);
    } else {
      ++queue;
    }
  }
}

void FairQueue::Push(QueuedWork work) {
  ++size_;
  if (work.is_continuation) {
    continuations_.Push(std::move(work));
  } else if (work.work_class == WorkClass::kShort) {
    short_work_.Push(std::move(work));
  } else {
    long_work_.Push(std::move(work));
  }
}

std::optional<QueuedWork> FairQueue::Pop(StartLimits limits) {
  std::optional<QueuedWork> work = continuations_.Pop();
  if (!work && limits.allow_new) {
    work = PopNew(limits.allow_long);
  }
  size_ -= work ? 1 : 0;
  return work;
}

std::optional<QueuedWork> FairQueue::PopNew(bool allow_long) {
  const bool is_long_waiting = allow_long && !long_work_.IsEmpty();
  std::optional<QueuedWork> work;
  if (is_long_waiting && long_work_skips_ >= kMaxLongWorkSkips) {
    work = long_work_.Pop();
    long_work_skips_ = 0;
  }
  if (!work) {
    work = short_work_.Pop();
    long_work_skips_ += work && is_long_waiting ? 1 : 0;
  }
  if (!work && allow_long) {
    work = long_work_.Pop();
    long_work_skips_ = 0;
  }
  return work;
}

std::vector<QueuedWork> FairQueue::TakeExpired(TimePoint now) {
  std::vector<QueuedWork> taken;
  continuations_.TakeExpired(now, taken);
  short_work_.TakeExpired(now, taken);
  long_work_.TakeExpired(now, taken);
  size_ -= taken.size();
  return taken;
}

}  // namespace magnoliareel
