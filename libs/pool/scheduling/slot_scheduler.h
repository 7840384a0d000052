#ifndef MAGNOLIAREEL_POOL_SCHEDULING_SLOT_SCHEDULER_H_
#define MAGNOLIAREEL_POOL_SCHEDULING_SLOT_SCHEDULER_H_

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "pool/scheduling/queued_work.h"

namespace magnoliareel {

/** Assigns the slots of one endpoint to waiting statements.

    Reserves slots for short work so that it doesn't wait for a long statement
    to finish: as many as short work has recently used plus a margin, and at
    least one if the endpoint has several. Work that would not start before its
    deadline, estimated from the average run time of short work, is rejected on
    admission.

    @tparam Q  queue that defines the order in which waiting work is started
*/
template <WorkQueue Q>
class SlotScheduler {
 public:
  /** Maximum number of waiting statements. */
  static constexpr size_t kMaxQueueSize = 10000;

  /** Minimum length of the window over which the slot usage of short work is
      measured. */
  static constexpr Duration kLoadWindow = std::chrono::milliseconds(500);
  /** Fraction of the slots reserved for short work that its measured usage
      should occupy; the rest is the margin. */
  static constexpr double kTargetShortUtilization = 0.8;

  /** @param slots  number of statements that the endpoint runs concurrently */
  explicit SlotScheduler(int64_t slots) : slots_(slots) { assert(slots_ > 0); }

  /** Adds a statement to the queue.

      @param work  the statement
      @param now   current time
      @returns     kOverloaded if the queue is full or the estimated start is
                   after the deadline; empty if the statement was queued
  */
  std::error_code Admit(QueuedWork work, TimePoint now) {
    if (queue_.GetSize() >= kMaxQueueSize ||
        now + EstimateWait() > work.deadline) {
      return Error::kOverloaded;
    }
    queue_.Push(std::move(work));
    return {};
  }

  /** Removes the next statement to start from the queue and assigns it a slot.
      Call repeatedly until it returns nullopt.

      @param has_connection  whether the pool has an idle connection
      @returns               a statement that occupies a slot until Finish(), or
                             nullopt if none may start
  */
  std::optional<QueuedWork> StartNext(bool has_connection) {
    if (std::ssize(running_) >= slots_) {
      return std::nullopt;
    }
    std::optional<QueuedWork> work =
        queue_.Pop({running_long_count_ < GetLongLimit(), has_connection});
    if (work) {
      running_long_count_ += work->work_class == WorkClass::kLong ? 1 : 0;
      running_.emplace(work->id, work->work_class);
    }
    return work;
  }

  /** Releases the slot of a statement.

      @param id        identifier of a statement returned by StartNext()
      @param run_time  time for which the statement occupied the slot
      @param now       current time
  */
  void Finish(uint64_t id, Duration run_time, TimePoint now) {
    const auto it = running_.find(id);
    assert(it != running_.end());
    running_long_count_ -= it->second == WorkClass::kLong ? 1 : 0;
    if (it->second == WorkClass::kShort) {
      // Exponential moving average; the newest run has a weight of 1/8.
      average_run_time_ += (run_time - average_run_time_) / 8;
      RecordShortRun(run_time, now);
    }
    running_.erase(it);
  }

  /** Removes the waiting statements whose deadline has passed.

      @param now  current time
      @returns    the removed statements
  */
  std::vector<QueuedWork> TakeExpired(TimePoint now) {
    return queue_.TakeExpired(now);
  }

  /** Changes the number of slots. Running statements aren't interrupted. */
  void SetSlots(int64_t slots) { slots_ = slots; }

  /** @returns number of waiting statements */
  size_t CountWaiting() const { return queue_.GetSize(); }
  /** @returns number of running statements */
  size_t CountRunning() const { return running_.size(); }
  /** @returns number of slots of the endpoint */
  int64_t GetSlots() const { return slots_; }

 private:
  int64_t GetLongLimit() const {
    const auto reserved =
        static_cast<int64_t>(std::ceil(short_load_ / kTargetShortUtilization));
    return std::max<int64_t>(1, slots_ - std::max<int64_t>(1, reserved));
  }

  /** Updates the average number of slots that short work occupies. */
  void RecordShortRun(Duration run_time, TimePoint now) {
    short_run_time_ += run_time;
    const Duration window = now - window_start_;
    if (window < kLoadWindow) {
      return;
    }
    const double load = static_cast<double>(short_run_time_.count()) /
                        static_cast<double>(window.count());
    short_load_ += (load - short_load_) / 2;
    short_run_time_ = Duration::zero();
    window_start_ = now;
  }

  Duration EstimateWait() const {
    return average_run_time_ * static_cast<int64_t>(queue_.GetSize()) / slots_;
  }

  int64_t slots_;
  Q queue_;
  std::unordered_map<uint64_t, WorkClass> running_;
  int64_t running_long_count_ = 0;
  Duration average_run_time_{0};
  Duration short_run_time_{0};
  double short_load_ = 0;
  TimePoint window_start_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOL_SCHEDULING_SLOT_SCHEDULER_H_
