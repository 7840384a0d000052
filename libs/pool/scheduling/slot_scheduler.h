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

/** Shares the slots of one endpoint among waiting statements.

    Long work leaves as many slots as short work has lately kept busy, with a
    margin, and at least one, so short work does not wait for a long statement
    to end. Work that cannot start before its deadline, judged
    by the run times seen so far, is refused at once.

    @tparam Q  order in which waiting work is started
*/
template <WorkQueue Q>
class SlotScheduler {
 public:
  /** Most statements that may wait. */
  static constexpr size_t kMaxQueueSize = 10000;

  /** Time over which the load by short work is measured. */
  static constexpr Duration kLoadWindow = std::chrono::milliseconds(500);
  /** Share of the slots left to short work that it may keep busy. */
  static constexpr double kTargetShortUtilization = 0.8;

  /** @param slots  statements that the endpoint runs at a time */
  explicit SlotScheduler(int64_t slots) : slots_(slots) { assert(slots_ > 0); }

  /** Adds a statement to the queue.

      @param work  what waits
      @param now   the present
      @returns     kOverloaded if it could not start before its deadline
  */
  std::error_code Admit(QueuedWork work, TimePoint now) {
    if (queue_.GetSize() >= kMaxQueueSize ||
        now + EstimateWait() > work.deadline) {
      return Error::kOverloaded;
    }
    queue_.Push(std::move(work));
    return {};
  }

  /** Removes the statement to start now; called until it returns nothing.

      @param has_connection  whether the pool has an idle connection
      @returns               a statement that holds a slot until Finish()
  */
  std::optional<QueuedWork> StartNext(bool has_connection) {
    if (std::ssize(running_) >= slots_) {
      return std::nullopt;
    }
    std::optional<QueuedWork> work =
        queue_.Pop({running_long_ < GetLongLimit(), has_connection});
    if (work) {
      running_long_ += work->work_class == WorkClass::kLong ? 1 : 0;
      running_.emplace(work->id, work->work_class);
    }
    return work;
  }

  /** Frees a slot.

      @param id   a statement returned by StartNext()
      @param ran  how long it held the slot
      @param now  the present
  */
  void Finish(uint64_t id, Duration ran, TimePoint now) {
    const auto it = running_.find(id);
    assert(it != running_.end());
    running_long_ -= it->second == WorkClass::kLong ? 1 : 0;
    if (it->second == WorkClass::kShort) {
      // Exponential average with a weight of 1/8 for the newest run.
      average_run_ += (ran - average_run_) / 8;
      NoteShortRun(ran, now);
    }
    running_.erase(it);
  }

  /** @param now  the present  @returns statements past their deadline, removed
      from the queue */
  std::vector<QueuedWork> TakeExpired(TimePoint now) {
    return queue_.TakeExpired(now);
  }

  /** Changes the number of slots; statements that run are not touched. */
  void SetSlots(int64_t slots) { slots_ = slots; }

  /** @returns statements that wait */
  size_t CountWaiting() const { return queue_.GetSize(); }
  /** @returns statements that run */
  size_t CountRunning() const { return running_.size(); }
  /** @returns slots of the endpoint */
  int64_t GetSlots() const { return slots_; }

 private:
  int64_t GetLongLimit() const {
    const auto wanted =
        static_cast<int64_t>(std::ceil(short_load_ / kTargetShortUtilization));
    return std::max<int64_t>(1, slots_ - std::max<int64_t>(1, wanted));
  }

  /** Measures how many slots short work keeps busy. */
  void NoteShortRun(Duration ran, TimePoint now) {
    short_busy_ += ran;
    const Duration span = now - window_began_;
    if (span < kLoadWindow) {
      return;
    }
    const double load = static_cast<double>(short_busy_.count()) /
                        static_cast<double>(span.count());
    short_load_ += (load - short_load_) / 2;
    short_busy_ = Duration::zero();
    window_began_ = now;
  }

  Duration EstimateWait() const {
    return average_run_ * static_cast<int64_t>(queue_.GetSize()) / slots_;
  }

  int64_t slots_;
  Q queue_;
  std::unordered_map<uint64_t, WorkClass> running_;
  int64_t running_long_ = 0;
  Duration average_run_{0};
  Duration short_busy_{0};
  double short_load_ = 0;
  TimePoint window_began_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOL_SCHEDULING_SLOT_SCHEDULER_H_
