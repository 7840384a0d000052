#ifndef MAGNOLIAREEL_ALLOWANCE_SLOTS_SLOT_REGISTRY_H_
#define MAGNOLIAREEL_ALLOWANCE_SLOTS_SLOT_REGISTRY_H_

#include <algorithm>
#include <bit>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "allowance/slots/slot_assignment.h"
#include "coordination/coordination.h"
#include "core/core.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** Table and key of the row that holds the assignment of slots. */
inline constexpr std::string_view kAllowanceTable = "allowance";
inline constexpr std::string_view kSlotsKey = "slots";

/** A VM uses its slots for this long after the store has last confirmed them.
    Longer than an outage of the store, since slots that nobody can confirm stay
    in use, and short enough that the part of a VM that is gone for good comes
    back into use within an hour. */
inline constexpr Duration kSlotValidity = std::chrono::minutes(15);
/** A VM that was not heard for this long loses its slots. */
inline constexpr Duration kSlotOwnerRetention = std::chrono::minutes(15);
/** Interval between confirmations of this VM's slots. */
inline constexpr Duration kSlotConfirmInterval = std::chrono::minutes(4);
/** Time for which the known VMs have to be unchanged before slots are
    assigned. */
inline constexpr Duration kSlotSettlePeriod = std::chrono::seconds(2);
/** Delay before a row that does not exist, or was changed by another VM
    meanwhile, is read again. */
inline constexpr Duration kSlotRetryDelay = std::chrono::seconds(2);
/** Delay before the row is read after a change of the live VMs. */
inline constexpr Duration kSlotReviewDelay = std::chrono::seconds(3);

/** Encodes the row of the assignment. */
template <class C>
concept SlotRowCodec = requires(const SlotAssignment& assignment,
                                std::string_view value,
                                SlotAssignment& out) {
  { C::Encode(assignment) } -> std::same_as<std::string>;
  { C::Decode(value, out) } -> std::same_as<bool>;
};

/** Interface through which SlotRegistry reaches the node that owns it. */
template <class D>
concept SlotDelegate = requires(D& delegate,
                                const SlotAssignment* assignment,
                                TimePoint valid_until,
                                Duration pause,
                                std::function<void()> task,
                                const VmId& owner) {
  /** Returns the time of a clock that counts suspensions of the VM. */
  { delegate.Now() } -> std::same_as<TimePoint>;
  /** Calls a function once, later, on the control thread. */
  delegate.After(pause, task);
  /** Passes an assignment to the traffic thread, null for none; this VM's slots
      are not used from `valid_until` on. */
  delegate.ApplySlots(assignment, valid_until);
  /** Asks the owner of several slots to give one to this VM; may be lost. */
  delegate.RequestSlot(owner);
};

/** Follows the assignment of slots in the store, and changes it when VMs come
    and go.

    A slot has one owner at any time: the owner gives it away itself, having
    ceased to use it, or it has been silent for so long that its right has
    expired. Each change is written under the condition that the row is
    unchanged.

    Used on the control thread only.

    @tparam S  @see RowStore
    @tparam C  @see SlotRowCodec
    @tparam D  @see SlotDelegate
*/
template <RowStore S, SlotRowCodec C, class D>
class SlotRegistry {
 public:
  /** @param store     must outlive the registry
      @param delegate  must outlive the registry
      @param self      this VM */
  SlotRegistry(S& store, D& delegate, VmId self)
      : store_(store), delegate_(delegate), self_(std::move(self)) {
    // Checked here because D is incomplete where it declares its registry.
    static_assert(SlotDelegate<D>);
  }

  /** Starts to follow the assignment. Has no effect if it was called before. */
  void Start() {
    if (!std::exchange(started_, true)) {
      Read();
    }
  }

  /** Records which VMs are live.

      @param live  the live VMs, this one included, ordered by name */
  void SetLiveVms(std::span<const VmId> live) {
    if (std::equal(live.begin(), live.end(), live_.begin(), live_.end())) {
      return;
    }
    const TimePoint now = delegate_.Now();
    live_.assign(live.begin(), live.end());
    live_changed_at_ = now;
    if (started_) {
      ScheduleRead(kSlotReviewDelay);
    }
  }

  /** Gives a slot to a VM that has none, if this VM has several.

      @param vm  the VM that has asked */
  void HandleSlotRequest(const VmId& vm) {
    if (!IsKnown() || is_writing_ || CountSlots(vm) > 0) {
      return;
    }
    const std::vector<uint32_t> own = ListSlots(self_);
    if (own.size() < 2) {
      return;
    }
    SlotAssignment next = *assignment_;
    next.owners[own.back()] = {vm, 0};
    // This VM ceases to use the slot before another one can. The write may take
    // effect long after its answer was lost, so the slot is not used again
    // before the row has a version with which it cannot.
    given_away_[own.back()] = version_;
    usable_[own.back()] = false;
    Publish();
    Write(std::move(next), "given");
  }

  /** Waits until slots that this VM has not used so far have certainly expired
      elsewhere: a store that was restored from a copy may name former owners.
   */
  void HandleStoreRestored() {
    HoldNewSlotsBack();
    if (started_) {
      Read();
    }
  }

  /** @returns the assignment as of the last answer of the store, or null */
  const SlotAssignment* GetAssignment() const {
    return assignment_ ? &*assignment_ : nullptr;
  }

 private:
  bool IsKnown() const { return assignment_.has_value(); }

  void HoldNewSlotsBack() {
    no_new_slots_until_ = delegate_.Now() + kSlotValidity;
    // Versions may start again from a lower one. Slots that were given away are
    // not usable, and are held back like new ones.
    version_ = 0;
    given_away_.clear();
  }

  std::vector<uint32_t> ListSlots(const VmId& vm) const {
    std::vector<uint32_t> slots;
    for (uint32_t it = 0; IsKnown() && it < assignment_->owners.size(); ++it) {
      if (assignment_->owners[it].vm == vm) {
        slots.push_back(it);
      }
    }
    return slots;
  }
  size_t CountSlots(const VmId& vm) const { return ListSlots(vm).size(); }

  void ScheduleRead(Duration pause) {
    if (std::exchange(read_scheduled_, true)) {
      return;
    }
    delegate_.After(pause, [this] {
      read_scheduled_ = false;
      Read();
    });
  }

  void Read() {
    if (is_writing_ || std::exchange(is_reading_, true)) {
      return;
    }
    const TimePoint sent_at = delegate_.Now();
    store_.Get(kAllowanceTable, kSlotsKey,
               [this, sent_at](std::error_code ec, const StoredRows& answer) {
                 is_reading_ = false;
                 if (ec) {
                   ScheduleRead(kSlotRetryDelay);
                   return;
                 }
                 HandleRow(answer.rows.empty() ? nullptr : &answer.rows.front(),
                           sent_at);
               });
  }

  void HandleRow(const StoredRow* row, TimePoint sent_at) {
    if (row == nullptr || row->removed) {
      if (IsKnown()) {
        // Its successor may assign the slots that other VMs still use.
        HoldNewSlotsBack();
      }
      version_ = 0;
      assignment_.reset();
      Publish();
      Create();
      return;
    }
    SlotAssignment next;
    if (!C::Decode(row->value, next)) {
      // Another writer has changed the row. Nothing is issued on its strength.
      LogEvent(Event::kSlotRowRejected,
               {{"version", std::to_string(row->version)}});
      assignment_.reset();
      Publish();
      ScheduleRead(kSlotConfirmInterval);
      return;
    }
    if (row->version < version_ && sent_at <= confirmed_at_) {
      // An answer that was overtaken by that to a write.
      ScheduleRead(kSlotRetryDelay);
      return;
    }
    if (row->version < version_) {
      // The store was restored from a copy.
      HoldNewSlotsBack();
    }
    version_ = row->version;
    Adopt(std::move(next), sent_at);
    Review();
  }

  void Adopt(SlotAssignment next, TimePoint confirmed_at) {
    const bool changed = !assignment_ || *assignment_ != next;
    std::vector<bool> was_usable = std::move(usable_);
    was_usable.resize(next.owners.size(), false);
    std::erase_if(given_away_,
                  [this](const auto& row) { return row.second < version_; });
    const bool holds_back = confirmed_at < no_new_slots_until_;
    usable_.assign(next.owners.size(), false);
    for (uint32_t it = 0; it < next.owners.size(); ++it) {
      usable_[it] =
          next.owners[it].vm == self_ && !next.owners[it].IsVacating() &&
          !given_away_.contains(it) && (was_usable[it] || !holds_back);
    }
    assignment_ = std::move(next);
    confirmed_at_ = confirmed_at;
    if (changed) {
      LogEvent(Event::kSlotsChanged,
               {{"version", std::to_string(version_)},
                {"slots", std::to_string(assignment_->owners.size())},
                {"own", std::to_string(CountSlots(self_))}});
    }
    Publish();
  }

  void Publish() {
    if (!assignment_) {
      delegate_.ApplySlots(nullptr, TimePoint{});
      return;
    }
    SlotAssignment view = *assignment_;
    for (uint32_t it = 0; it < view.owners.size(); ++it) {
      if (view.owners[it].vm == self_ && !usable_[it]) {
        view.owners[it] = {};
      }
    }
    delegate_.ApplySlots(&view, confirmed_at_ + kSlotValidity);
  }

  // Assigns the slots for the first time, evenly among the known VMs.
  void Create() {
    const TimePoint now = delegate_.Now();
    const bool is_first = !live_.empty() && live_.front() == self_;
    if (!is_first || now - live_changed_at_ < kSlotSettlePeriod) {
      ScheduleRead(kSlotRetryDelay);
      return;
    }
    SlotAssignment next;
    const auto wanted = static_cast<uint32_t>(live_.size() + live_.size() / 4);
    next.owners.resize(std::bit_ceil(std::max(1U, wanted)));
    for (size_t it = 0; it < next.owners.size(); ++it) {
      next.owners[it].vm = live_[it % live_.size()];
    }
    Write(std::move(next), "created");
  }

  // Decides what this VM has to change.
  void Review() {
    if (is_writing_) {
      // The answer to the write is followed by a read.
      return;
    }
    const TimePoint now = delegate_.Now();
    if (!given_away_.empty()) {
      // A new version keeps the write whose answer was lost from taking effect.
      Write(*assignment_, "kept");
      return;
    }
    if (ReleaseOwnMark() || ReclaimSlot(now)) {
      return;
    }
    const bool has_slot = CountSlots(self_) > 0;
    if (!has_slot) {
      RequestSlot();
    }
    ScheduleRead(has_slot ? kSlotConfirmInterval : kSlotRetryDelay);
  }

  // A slot of this VM was marked while it was not heard.
  bool ReleaseOwnMark() {
    SlotAssignment next = *assignment_;
    bool changed = false;
    for (SlotOwner& it : next.owners) {
      if (it.vm == self_ && it.IsVacating()) {
        it.mark = 0;
        changed = true;
      }
    }
    if (changed) {
      Write(std::move(next), "kept");
    }
    return changed;
  }

  bool ReclaimSlot(TimePoint now) {
    const bool has_slot = CountSlots(self_) > 0;
    if (has_slot && (live_.empty() || live_.front() != self_)) {
      return false;
    }
    RecordAbsences(now);
    for (uint32_t it = 0; it < assignment_->owners.size(); ++it) {
      const SlotOwner& owner = assignment_->owners[it];
      const bool is_unowned = owner.vm.IsEmpty();
      if (!is_unowned && !absent_since_.contains(owner.vm)) {
        continue;
      }
      if (is_unowned) {
        SlotAssignment next = *assignment_;
        next.owners[it] = {self_, 0};
        Write(std::move(next), "taken");
        return true;
      }
      if (!owner.IsVacating()) {
        if (now - absent_since_.at(owner.vm) < kSlotOwnerRetention) {
          continue;
        }
        SlotAssignment next = *assignment_;
        for (SlotOwner& other : next.owners) {
          if (other.vm == owner.vm && !other.IsVacating()) {
            other.mark = version_;
          }
        }
        Write(std::move(next), "marked");
        return true;
      }
      const auto [seen, added] =
          marks_seen_at_.try_emplace({it, owner.mark}, now);
      if (!added && now - seen->second > kSlotValidity + kSlotSettlePeriod) {
        marks_seen_at_.erase(seen);
        SlotAssignment next = *assignment_;
        next.owners[it] = {self_, 0};
        Write(std::move(next), "reclaimed");
        return true;
      }
    }
    return false;
  }

  void RecordAbsences(TimePoint now) {
    std::erase_if(absent_since_, [this](const auto& row) {
      return std::binary_search(live_.begin(), live_.end(), row.first);
    });
    for (const SlotOwner& it : assignment_->owners) {
      if (!it.vm.IsEmpty() && it.vm != self_ &&
          !std::binary_search(live_.begin(), live_.end(), it.vm)) {
        absent_since_.try_emplace(it.vm, now);
      }
    }
    std::erase_if(marks_seen_at_, [this](const auto& row) {
      const auto& [slot, mark] = row.first;
      return slot >= assignment_->owners.size() ||
             assignment_->owners[slot].mark != mark;
    });
  }

  void RequestSlot() {
    std::map<VmId, size_t> counts;
    for (const SlotOwner& it : assignment_->owners) {
      ++counts[it.vm];
    }
    // VMs without a slot ask different owners.
    const size_t offset = std::hash<std::string>{}(self_.value);
    for (size_t n = 0; n < live_.size(); ++n) {
      const VmId& vm = live_[(offset + n + requests_) % live_.size()];
      if (const auto it = counts.find(vm);
          vm != self_ && it != counts.end() && it->second >= 2) {
        ++requests_;
        delegate_.RequestSlot(vm);
        return;
      }
    }
  }

  void Write(SlotAssignment next, std::string_view reason) {
    is_writing_ = true;
    const TimePoint sent_at = delegate_.Now();
    const std::string value = C::Encode(next);
    store_.WriteIf(
        kAllowanceTable, kSlotsKey, value, version_,
        [this, next = std::move(next), sent_at, reason = std::string(reason)](
            std::error_code ec, const StoredRows& answer) mutable {
          is_writing_ = false;
          LogEvent(
              Event::kSlotsWritten,
              {{"reason", reason}, {"result", ec ? ec.message() : "done"}});
          if (ec) {
            // The outcome is known from the row.
            ScheduleRead(kSlotRetryDelay);
            return;
          }
          if (answer.version > version_) {
            // Otherwise a read has overtaken the answer.
            version_ = answer.version;
            Adopt(std::move(next), sent_at);
          }
          ScheduleRead(kSlotConfirmInterval);
        });
  }

  S& store_;
  D& delegate_;
  const VmId self_;
  bool started_ = false;
  bool is_reading_ = false;
  bool is_writing_ = false;
  bool read_scheduled_ = false;
  /** Version of the row; 0 if it does not exist. */
  uint64_t version_ = 0;
  std::optional<SlotAssignment> assignment_;
  /** By slot: this VM owns it and may use it. */
  std::vector<bool> usable_;
  /** Slots that a write has given away whose outcome is not known, and the
      version on which the write depends. */
  std::map<uint32_t, uint64_t> given_away_;
  /** Time at which the request was sent that the store answered last. */
  TimePoint confirmed_at_;
  TimePoint no_new_slots_until_;
  std::vector<VmId> live_;
  TimePoint live_changed_at_;
  std::map<VmId, TimePoint> absent_since_;
  /** Time at which this VM first saw the mark of a slot. */
  std::map<std::pair<uint32_t, uint64_t>, TimePoint> marks_seen_at_;
  size_t requests_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ALLOWANCE_SLOTS_SLOT_REGISTRY_H_
