#ifndef MAGNOLIAREEL_TESTS_INTERLEAVINGS_SEARCH_WORLD_H_
#define MAGNOLIAREEL_TESTS_INTERLEAVINGS_SEARCH_WORLD_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "control/control.h"
#include "tests/interleavings/fault.h"
#include "tests/interleavings/member_group.h"
#include "tests/interleavings/search_vm.h"

namespace magnoliareel {

/** Bounds and times of a search. */
struct SearchOptions {
  /** Faults occur between these times. */
  Duration faults_from = std::chrono::milliseconds(5000);
  Duration faults_until = std::chrono::milliseconds(7400);
  /** Delay of a listing that is late; below kMembershipDelay. */
  Duration listing_delay = std::chrono::milliseconds(900);
  /** Longest time from the end of all faults until a primary is found. */
  Duration recovery_limit = std::chrono::seconds(12);
  /** Highest number of faults on a path. */
  size_t depth = 2;
  /** A search that has made this many runs ends. */
  size_t max_runs = 1000000;
};

/** Kind of an event before which faults may occur. */
enum class PointKind {
  /** No fault occurs before the event. */
  kNone,
  kCommit,
  kCommand,
  kOrder,
  kOrderEffect,
  kListing,
  kRowWrite,
};

/** An event before which faults may occur. */
struct ChoicePoint {
  PointKind kind = PointKind::kNone;
  /** VM that sent the command or order. */
  size_t vm = 0;
  /** Member that receives the command, or is to be promoted. */
  size_t member = 0;
};

/** How a run ended. */
enum class RunOutcome {
  /** No check failed. */
  kClean,
  /** The chooser has ended the run. */
  kPruned,
  /** A promotion took effect without an acknowledged commit. */
  kLost,
  /** No primary was found in time. */
  kNoPrimary,
  /** The same, after two ids had left for good. The service may then wait until
      a person decides (KNOWN-RED.txt: a replica that returns under another
      id). */
  kWaitsForPerson,
};

/** Two VMs with the product's decision code before one group of replicated
    databases, the duty's row and the platform, under virtual time.

    A run is repeatable: it depends on the options and the faults only.
*/
class SearchWorld {
 public:
  static constexpr size_t kVms = 2;
  /** Called before each event at which faults may occur. May inject faults;
      returns false to end the run. */
  using Chooser =
      std::function<bool(SearchWorld& world, const ChoicePoint& point)>;

  /** @param options  times
      @param chooser  called at each point; may be empty
      @param faults   injected at their times */
  SearchWorld(const SearchOptions& options,
              Chooser chooser,
              std::span<const TimedFault> faults = {});
  SearchWorld(const SearchWorld&) = delete;
  SearchWorld& operator=(const SearchWorld&) = delete;

  /** Runs to the end of the path, or to the first failed check. */
  RunOutcome Run();
  /** Injects a fault at the present time. */
  void Inject(const Fault& fault);
  /** @returns the faults that make a difference before the event */
  std::vector<Fault> ListFaults(const ChoicePoint& point) const;
  /** @returns a hash of the state before the event */
  uint64_t HashState(const ChoicePoint& point) const;
  /** Keeps a line for each event from now on. */
  void StartTimeline() { has_timeline_ = true; }
  /** @returns the lines, each with its time */
  const std::vector<std::string>& GetTimeline() const { return timeline_; }
  /** @returns the time since the start of the run */
  Duration GetElapsed() const { return now_ - kStart; }

  // Interface of the VMs.
  TimePoint Now() const { return now_; }
  void After(Duration delay, std::function<void()> task) {
    Schedule(now_ + delay, 0, {}, std::move(task));
  }
  void ReadRow(size_t vm, std::function<void(StoredRow)> done);
  void WriteRow(size_t vm,
                std::string value,
                uint64_t version,
                std::function<void(std::error_code, uint64_t)> done);
  void SendCommand(size_t vm,
                   const EndpointId& endpoint,
                   const EndpointCommand& command,
                   Duration timeout,
                   EndpointCommandCompletion done);
  void OrderPromotion(size_t vm,
                      const EndpointId& endpoint,
                      uint64_t fencing_token,
                      std::function<void(std::error_code)> done);
  void SendHeartbeat(size_t vm);
  /** Sends a message to the VM at an address, unless the VMs are cut off. */
  void SendToVm(const SocketAddress& to,
                std::function<void(SearchVm&)> message);
  /** @returns the term in which the endpoint leads; none if it does not lead,
               or the VM does not reach it */
  std::optional<Term> FindLedTerm(size_t vm, const EndpointId& endpoint) const;
  /** @returns the end of the log in the endpoint's reply to a statement of the
               VM; none if FindLedTerm() returns none */
  std::optional<LogPoint> FindLedEnd(size_t vm,
                                     const EndpointId& endpoint) const;
  /** @returns whether the VM reaches the running endpoint */
  bool Reaches(size_t vm, const EndpointId& endpoint) const;
  /** @returns whether a commit has waited for long */
  bool HasStalledCommit() const;

  /** @returns the directory as the store holds it now */
  FleetView MakeView();

 private:
  static constexpr TimePoint kStart{std::chrono::seconds(100)};
  struct Task {
    /** Hash of the content; 0 for timers of the VMs, which follow from what
        the VMs received. */
    uint64_t tag = 0;
    ChoicePoint point;
    std::function<void()> run;
  };
  /** What the directory knows of a member. */
  struct Registration {
    TimePoint listed_at;
    std::optional<TimePoint> expires_at;
    /** Number of the report that the directory lists. */
    uint64_t report = 0;
    bool reports_primary = false;
    bool reports_draining = false;
  };
  /** A command on its way. */
  struct SentCommand {
    size_t vm = 0;
    size_t member = 0;
    EndpointCommand command;
    TimePoint deadline;
    uint64_t tag = 0;
    EndpointCommandCompletion done;
  };

  void Schedule(TimePoint at,
                uint64_t tag,
                ChoicePoint point,
                std::function<void()> task);
  void Note(const std::string& text);
  void StartVm(size_t vm);
  void RunPeriods(size_t vm, SearchVm* instance);
  void RunTraffic(size_t vm, SearchVm* instance);
  void RunCommits();
  void Replicate();
  void PublishLater(Duration delay);
  void Publish();
  /** @returns the VMs that reach the primary, a bit for each */
  uint32_t ListObservers() const;
  /** @returns those that send commits to it */
  uint32_t ListCommitters() const;
  /** @returns whether the VM has connections to the member */
  bool IsConnected(size_t vm, size_t member) const {
    return !cuts_.contains({vm, member}) && !refusals_.contains({vm, member});
  }
  bool Choose(const ChoicePoint& point);
  void InjectAtMember(const Fault& fault);
  void CrashMember(size_t member, bool leaves);
  /** Ends the process of a member, which stays listed, for a short time. */
  void CrashBriefly(size_t member);
  void StartDrain();
  void InjectAtVm(const Fault& fault);
  void LoseVm(size_t vm);
  void Heal();
  void RestartMembers();
  bool HasSettled();
  void AddMemberFaults(const ChoicePoint& point,
                       size_t member,
                       std::vector<Fault>& list) const;
  void HandleCommand(const SentCommand& sent);
  ReplicationStatus ExecuteCommand(const SentCommand& sent);
  void AnswerCommand(const SentCommand& sent);
  void HandleOrder(size_t vm,
                   const EndpointId& endpoint,
                   uint64_t fencing_token,
                   const std::function<void(std::error_code)>& done);
  void ApplyOrder(const EndpointId& endpoint);
  void AddMembers(StateHash& hash) const;
  void AddServices(StateHash& hash) const;

  const SearchOptions options_;
  const Chooser chooser_;
  TimePoint now_ = kStart;
  std::multimap<TimePoint, Task> tasks_;
  MemberGroup group_{2};
  std::vector<Registration> registrations_{3};
  std::vector<EndpointEntry> directory_;
  std::shared_ptr<RouteTable> routes_ = std::make_shared<RouteTable>();
  std::vector<std::unique_ptr<SearchVm>> all_vms_;
  std::array<SearchVm*, kVms> vms_{};
  /** Pairs of a VM and a member that do not reach each other. */
  std::set<std::pair<size_t, size_t>> cuts_;
  /** Pairs of a VM and a member that refuses its connections. */
  std::set<std::pair<size_t, size_t>> refusals_;
  /** Time until which a member has no free slot. */
  std::map<size_t, TimePoint> overloaded_until_;
  /** Members whose hosts are down. */
  std::set<size_t> hosts_down_;
  bool are_peers_cut_ = false;
  TimePoint listings_blocked_until_;
  bool is_publication_scheduled_ = false;
  bool is_order_slow_ = false;
  bool are_orders_slow_ = false;
  bool are_ordered_deaf_ = false;
  /** Answers to orders are lost until then. */
  TimePoint order_answers_lost_until_;
  bool is_order_answer_lost_ = false;
  /** Member at which the answer to the next command is lost. */
  std::optional<size_t> loses_answer_;
  bool is_command_delayed_ = false;
  bool is_store_answer_lost_ = false;
  bool has_joined_ = false;
  bool has_drained_ = false;
  bool has_lost_vms_ = false;
  /** A VM was lost or has stood still. */
  bool has_vm_failed_ = false;
  /** Number of reports to the directory. */
  uint64_t report_count_ = 0;
  /** Number of ids that have left for good. */
  size_t departures_ = 0;
  size_t orders_in_transit_ = 0;
  /** Commands that were sent since the latest order. */
  std::set<uint64_t> commands_behind_order_;
  uint64_t highest_fencing_token_ = 0;
  StoredRow row_;
  uint64_t store_version_ = 0;
  std::optional<TimePoint> waiting_since_;
  std::optional<TimePoint> healed_at_;
  size_t commits_at_heal_ = 0;
  RunOutcome outcome_ = RunOutcome::kClean;
  bool has_timeline_ = false;
  std::vector<std::string> timeline_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_INTERLEAVINGS_SEARCH_WORLD_H_
