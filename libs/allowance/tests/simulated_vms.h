#ifndef MAGNOLIAREEL_ALLOWANCE_TESTS_SIMULATED_VMS_H_
#define MAGNOLIAREEL_ALLOWANCE_TESTS_SIMULATED_VMS_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "allowance/allowance.h"
#include "core/core.h"
#include "telemetry/telemetry.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

/** Keeps events out of the output of the tests. */
inline void DiscardLog() {
  static LogBuffer discarded(0);
  static const bool kStarted = [] {
    StartBufferedLog(discarded, "test");
    return true;
  }();
  static_cast<void>(kStarted);
}

/** Tests whose events are not printed. */
class QuietTestGroup : public Utest {
 public:
  void setup() override { DiscardLog(); }
};

/** Row codec of the tests. @see SlotRowCodec */
struct PlainSlotCodec {
  static std::string Encode(const SlotAssignment& assignment) {
    std::string out = "slots";
    for (const SlotOwner& it : assignment.owners) {
      out += " " + (it.vm.IsEmpty() ? "-" : it.vm.value) + " " +
             std::to_string(it.mark);
    }
    return out;
  }
  static bool Decode(std::string_view value, SlotAssignment& out) {
    out = {};
    std::istringstream in{std::string(value)};
    std::string word;
    uint64_t mark = 0;
    if (!(in >> word) || word != "slots") {
      return false;
    }
    while (in >> word >> mark) {
      out.owners.push_back({VmId{word == "-" ? "" : word}, mark});
    }
    return true;
  }
};

/** What becomes of the next conditional write. */
enum class WriteFault {
  kNone,
  /** It is not executed and not answered. */
  kLost,
  /** It is executed and not answered. */
  kAnswerLost,
  /** It is not answered, and executed 3 s later. */
  kLate,
};

/** What becomes of the next message between VMs. */
enum class MessageFault { kNone, kLost, kDuplicate, kLate };

/** Deliberate errors, which the tests must detect. */
enum class Defect {
  kNone,
  /** The buckets of a process that starts anew are full. */
  kFullStart,
  /** A slot stays in use after it was given away. */
  kUseAfterGiving,
};

/** VMs with an AllowanceBook and a SlotRegistry each, a store and messages,
    under virtual time. All steps are deterministic. */
class SimulatedVms {
 public:
  /** An operation that was permitted. */
  struct Operation {
    TimePoint granted_at;
    TimePoint expires_at;
  };
  /** The store, as a process reaches it. @see RowStore */
  class StoreClient {
   public:
    StoreClient(SimulatedVms& vms, size_t index, uint64_t incarnation)
        : vms_(vms), index_(index), incarnation_(incarnation) {}

    void List(std::string_view, std::string_view, RowsCompletion) {}
    void Follow(std::string_view, uint64_t, Duration, RowsCompletion) {}
    void Poll(std::string_view, uint64_t, RowsCompletion) {}
    void Put(std::string_view,
             std::string_view,
             std::string_view,
             RowsCompletion) {}
    void Get(std::string_view, std::string_view, RowsCompletion done) {
      std::error_code ec;
      StoredRows rows;
      if (vms_.IsStoreReached(index_)) {
        rows = vms_.row_ ? StoredRows{{*vms_.row_}, vms_.version_, false}
                         : StoredRows{{}, vms_.version_, false};
      } else {
        ec = Error::kUnreachable;
      }
      Answer(std::move(done), ec, std::move(rows));
    }
    void WriteIf(std::string_view,
                 std::string_view,
                 std::string_view value,
                 uint64_t version,
                 RowsCompletion done) {
      const WriteFault fault =
          std::exchange(vms_.write_fault_, WriteFault::kNone);
      std::error_code ec = Error::kAnswerLost;
      if (!vms_.IsStoreReached(index_) || fault == WriteFault::kLost) {
        Answer(std::move(done), ec, {});
        return;
      }
      if (fault == WriteFault::kLate) {
        vms_.Schedule(std::chrono::seconds(3),
                      [value = std::string(value), version](SimulatedVms& vms) {
                        vms.Write(value, version);
                      });
        Answer(std::move(done), ec, {});
        return;
      }
      const bool is_written = vms_.Write(std::string(value), version);
      if (fault == WriteFault::kNone) {
        ec = is_written ? std::error_code{}
                        : std::error_code(Error::kVersionConflict);
      }
      Answer(std::move(done), ec, StoredRows{{}, vms_.version_, false});
    }

   private:
    void Answer(RowsCompletion done, std::error_code ec, StoredRows rows) {
      vms_.ScheduleFor(index_, incarnation_, std::chrono::milliseconds(5),
                       [done = std::move(done), ec, rows = std::move(rows)] {
                         done(ec, rows);
                       });
    }

    SimulatedVms& vms_;
    const size_t index_;
    const uint64_t incarnation_;
  };

  /** A process of a VM. @see AllowanceDelegate, SlotDelegate */
  class Process {
   public:
    Process(SimulatedVms& vms, size_t index, uint64_t incarnation)
        : vms_(vms),
          index_(index),
          incarnation_(incarnation),
          book_(*this, NameVm(index), incarnation << 32),
          store_(vms, index, incarnation),
          registry_(store_, *this, NameVm(index)) {}

    // AllowanceDelegate.
    void SendPermitRequest(const VmId& to, const PermitRequest& request) {
      vms_.Send([this_index = index_, to, request](SimulatedVms& vms) {
        const size_t owner = FindVm(to);
        if (vms.IsLinked(this_index, owner)) {
          const PermitGrant grant =
              vms.processes_[owner]->book_.HandleRequest(request, vms.now_);
          vms.Send([this_index, to, grant](SimulatedVms& again) {
            again.processes_[this_index]->book_.HandleGrant(to, grant,
                                                            again.now_);
          });
        }
      });
    }
    void OnPermitGranted(uint64_t, TimePoint expires_at) {
      vms_.operations_.push_back({vms_.now_, expires_at});
      ++granted_;
    }
    void OnPermitRefused(uint64_t) { ++refused_; }
    void WakeForPermits(TimePoint at) {
      After(std::max(Duration(0), at - vms_.now_),
            [this] { book_.HandleWake(vms_.now_); });
    }
    // SlotDelegate.
    TimePoint Now() const { return vms_.now_; }
    void After(Duration pause, std::function<void()> task) {
      vms_.ScheduleFor(index_, incarnation_, pause, std::move(task));
    }
    void ApplySlots(const SlotAssignment* assignment, TimePoint valid_until) {
      if (assignment == nullptr) {
        book_.ApplySlots(nullptr, valid_until, vms_.now_);
        return;
      }
      SlotAssignment view = *assignment;
      if (vms_.defect_ == Defect::kUseAfterGiving) {
        const SlotAssignment& row = *registry_.GetAssignment();
        for (size_t it = 0; it < view.owners.size(); ++it) {
          if (row.owners[it].vm == NameVm(index_)) {
            view.owners[it] = row.owners[it];
          }
        }
      }
      const bool starts_full =
          vms_.defect_ == Defect::kFullStart && !std::exchange(placed_, true);
      book_.ApplySlots(
          &view, valid_until,
          starts_full ? vms_.now_ - std::chrono::hours(1) : vms_.now_);
    }
    void RequestSlot(const VmId& owner) {
      vms_.Send([from = index_, owner](SimulatedVms& vms) {
        if (vms.IsLinked(from, FindVm(owner))) {
          vms.processes_[FindVm(owner)]->registry_.HandleSlotRequest(
              NameVm(from));
        }
      });
    }
    uint64_t GetIncarnation() const { return incarnation_; }
    AllowanceBook<Process>& GetBook() { return book_; }
    SlotRegistry<StoreClient, PlainSlotCodec, Process>& GetRegistry() {
      return registry_;
    }
    uint64_t CountGranted() const { return granted_; }
    uint64_t CountRefused() const { return refused_; }
    /** Takes one permit. */
    PermitResult Take() {
      const PermitDecision decision =
          book_.Take(TeamId{"team"}, next_operation_++,
                     vms_.now_ + std::chrono::milliseconds(200), vms_.now_);
      if (decision.result == PermitResult::kGranted) {
        OnPermitGranted(0, decision.expires_at);
      } else if (decision.result == PermitResult::kRefused) {
        OnPermitRefused(0);
      }
      return decision.result;
    }

   private:
    SimulatedVms& vms_;
    const size_t index_;
    const uint64_t incarnation_;
    AllowanceBook<Process> book_;
    StoreClient store_;
    SlotRegistry<StoreClient, PlainSlotCodec, Process> registry_;
    uint64_t next_operation_ = 1;
    uint64_t granted_ = 0;
    uint64_t refused_ = 0;
    bool placed_ = false;
  };

  /** @param count   number of VMs
      @param limit   the team's limit
      @param window  how its operations are counted
      @param defect  a deliberate error
  */
  SimulatedVms(size_t count,
               const TeamLimit& limit,
               const AllowanceWindow& window,
               Defect defect = Defect::kNone)
      : window_(window), defect_(defect), cut_off_(count, false) {
    teams_.Add({TeamId{"team"}, limit});
    for (size_t it = 0; it < count; ++it) {
      processes_.push_back(nullptr);
    }
    for (size_t it = 0; it < count; ++it) {
      Restart(it);
    }
    UpdateLive();
  }

  SimulatedVms(const SimulatedVms&) = delete;
  SimulatedVms& operator=(const SimulatedVms&) = delete;

  static VmId NameVm(size_t index) {
    return VmId{"vm-" + std::string(1, static_cast<char>('a' + index))};
  }
  static size_t FindVm(const VmId& vm) {
    return static_cast<size_t>(vm.value.back() - 'a');
  }

  Process& Get(size_t vm) { return *processes_[vm]; }
  size_t CountVms() const { return processes_.size(); }
  TimePoint Now() const { return now_; }
  const std::vector<Operation>& GetOperations() const { return operations_; }

  /** Replaces the row, as another writer could. */
  void SetRow(std::string value) {
    row_ = StoredRow{"slots", std::move(value), ++version_, false};
  }
  SlotAssignment GetRow() const {
    SlotAssignment out;
    if (row_) {
      PlainSlotCodec::Decode(row_->value, out);
    }
    return out;
  }
  uint64_t GetVersion() const { return version_; }

  /** Ends a VM's process and starts another. */
  void Restart(size_t vm) {
    retired_.push_back(std::move(processes_[vm]));
    processes_[vm] = std::make_unique<Process>(*this, vm, ++incarnations_);
    Process& process = *processes_[vm];
    process.GetBook().ApplyLimits(
        &teams_, window_,
        defect_ == Defect::kFullStart ? now_ - std::chrono::hours(1) : now_);
    UpdateLive();
    process.GetRegistry().Start();
  }
  void SetStoreAway(bool is_away) { is_store_away_ = is_away; }
  /** Separates a VM from the other VMs and from the store, or ends this. */
  void SetCutOff(size_t vm, bool is_cut_off) {
    cut_off_[vm] = is_cut_off;
    UpdateLive();
  }
  void SetWriteFault(WriteFault fault) { write_fault_ = fault; }
  void SetMessageFault(MessageFault fault) { message_fault_ = fault; }
  /** Sets a function that decides the fate of each message. */
  void SetMessageFaults(std::function<std::pair<bool, Duration>()> draw) {
    draw_ = std::move(draw);
  }

  /** Runs what is due until a time has passed. */
  void Advance(Duration time) {
    const TimePoint end = now_ + time;
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto event = events_.extract(events_.begin());
      now_ = std::max(now_, event.key());
      event.mapped()(*this);
    }
    now_ = end;
  }

  /** @returns the largest number of operations in a window, by which the bound
               was exceeded; 0 if it holds everywhere. An operation counts in
               every window in which it may be sent to an endpoint. */
  double FindExcess(const TeamLimit& limit) const {
    const BucketRules budget = ComputeTeamBudget(limit, window_);
    const double seconds =
        std::chrono::duration<double>(window_.window + kPermitLifetime).count();
    const double bound = budget.depth + budget.rate_per_s * seconds + 1e-3;
    double worst = 0;
    for (const Operation& first : operations_) {
      const TimePoint begin = first.expires_at - Duration(1);
      const auto count = std::count_if(
          operations_.begin(), operations_.end(), [&](const Operation& it) {
            return it.expires_at > begin &&
                   it.granted_at <= begin + window_.window;
          });
      worst = std::max(worst, static_cast<double>(count) - bound);
    }
    return worst;
  }

 private:
  using Task = std::function<void(SimulatedVms&)>;

  bool IsLinked(size_t a, size_t b) const {
    return !cut_off_[a] && !cut_off_[b];
  }
  bool IsStoreReached(size_t vm) const {
    return !is_store_away_ && !cut_off_[vm];
  }
  void Schedule(Duration pause, Task task) {
    events_.emplace(now_ + pause, std::move(task));
  }
  /** Schedules a task of a process, which ends with it. */
  void ScheduleFor(size_t vm,
                   uint64_t incarnation,
                   Duration pause,
                   std::function<void()> task) {
    Schedule(pause,
             [vm, incarnation, task = std::move(task)](SimulatedVms& vms) {
               if (vms.processes_[vm]->GetIncarnation() == incarnation) {
                 task();
               }
             });
  }
  void Send(Task task) {
    Duration delay = std::chrono::milliseconds(10);
    if (draw_) {
      const auto [lost, drawn] = draw_();
      if (lost) {
        return;
      }
      delay = drawn;
    }
    switch (std::exchange(message_fault_, MessageFault::kNone)) {
      case MessageFault::kLost:
        return;
      case MessageFault::kLate:
        delay = std::chrono::milliseconds(450);
        break;
      case MessageFault::kDuplicate:
        Schedule(2 * delay, task);
        break;
      case MessageFault::kNone:
        break;
    }
    Schedule(delay, std::move(task));
  }
  bool Write(const std::string& value, uint64_t version) {
    if (version != (row_ ? row_->version : 0)) {
      return false;
    }
    SetRow(value);
    return true;
  }
  void UpdateLive() {
    for (size_t vm = 0; vm < processes_.size(); ++vm) {
      if (processes_[vm] == nullptr) {
        continue;
      }
      std::vector<VmId> live;
      std::vector<PermitLender> lenders;
      for (size_t it = 0; it < processes_.size(); ++it) {
        if (it == vm || IsLinked(it, vm)) {
          live.push_back(NameVm(it));
        }
        if (it != vm && IsLinked(it, vm)) {
          lenders.push_back({NameVm(it), Distance::kSameSite});
        }
      }
      processes_[vm]->GetRegistry().SetLiveVms(live);
      processes_[vm]->GetBook().ApplyLenders(lenders);
    }
  }

  const AllowanceWindow window_;
  const Defect defect_;
  TeamTable teams_;
  TimePoint now_ = TimePoint(std::chrono::hours(100));
  std::vector<std::unique_ptr<Process>> processes_;
  /** Former processes, which events in flight may still name. */
  std::vector<std::unique_ptr<Process>> retired_;
  uint64_t incarnations_ = 0;
  std::optional<StoredRow> row_;
  uint64_t version_ = 0;
  bool is_store_away_ = false;
  std::vector<bool> cut_off_;
  WriteFault write_fault_ = WriteFault::kNone;
  MessageFault message_fault_ = MessageFault::kNone;
  std::function<std::pair<bool, Duration>()> draw_;
  std::multimap<TimePoint, Task> events_;
  std::vector<Operation> operations_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ALLOWANCE_TESTS_SIMULATED_VMS_H_
