#ifndef MAGNOLIAREEL_ALLOWANCE_BOOK_ALLOWANCE_BOOK_H_
#define MAGNOLIAREEL_ALLOWANCE_BOOK_ALLOWANCE_BOOK_H_

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "allowance/book/permit_messages.h"
#include "allowance/budget/team_budget.h"
#include "allowance/budget/token_bucket.h"
#include "allowance/slots/slot_assignment.h"
#include "allowance/slots/slot_rank.h"
#include "core/core.h"
#include "directory/directory.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** Longest wait for the answer to a request: two trips between regions, and the
    time of a busy VM. */
inline constexpr Duration kPermitRequestTimeout =
    std::chrono::milliseconds(120);
/** Backoff of an owner that had no permits, and of one that did not answer. */
inline constexpr Duration kEmptyOwnerBackoff = std::chrono::milliseconds(200);
inline constexpr Duration kMaxEmptyOwnerBackoff =
    std::chrono::milliseconds(800);
inline constexpr Duration kSilentOwnerBackoff = std::chrono::seconds(1);
/** Permits are requested for the operations that are expected within this time,
    beside those that wait. */
inline constexpr Duration kPermitLookahead = std::chrono::milliseconds(100);
/** Most permits in one request. */
inline constexpr uint32_t kMaxRequestedPermits = 64;
/** Interval between log lines on refusals of one team. */
inline constexpr Duration kRefusalLogInterval = std::chrono::seconds(1);

/** Whether an operation may run. */
enum class PermitResult {
  kGranted,
  /** Permits are requested; the delegate is told the result. */
  kWait,
  /** The team is beyond its limit, as far as this VM can find out. */
  kRefused,
};

/** Answer to an operation that needs a permit. */
struct PermitDecision {
  PermitResult result = PermitResult::kRefused;
  /** With kGranted, the operation must have been sent to an endpoint by then,
      or it needs another permit. */
  TimePoint expires_at = TimePoint::max();
};

/** A VM that may lend permits. */
struct PermitLender {
  VmId vm;
  Distance distance = Distance::kRemote;

  bool operator==(const PermitLender&) const = default;
};

/** Counters since the start of the process. */
struct AllowanceCounters {
  /** Operations that ran on permits of this VM's slots, and of other VMs'. */
  uint64_t granted = 0;
  uint64_t borrowed = 0;
  /** Permits given to other VMs. */
  uint64_t lent = 0;
  /** Operations refused because all reachable buckets were empty, because no
      owner of a slot could be reached, and because their wait was over. */
  uint64_t refused_empty = 0;
  uint64_t refused_unreachable = 0;
  uint64_t refused_waiting = 0;
  /** Operations refused because they waited in an endpoint's queue until their
      permit had expired, and no other was at hand. */
  uint64_t refused_queued = 0;
};

/** Interface through which AllowanceBook reaches its owner. */
template <class D>
concept AllowanceDelegate = requires(D& delegate,
                                     const VmId& to,
                                     const PermitRequest& request,
                                     uint64_t operation,
                                     TimePoint expires_at,
                                     TimePoint at) {
  /** Sends a request to the owner of a slot; may be lost. */
  delegate.SendPermitRequest(to, request);
  /** Called for an operation that waited. @see PermitDecision */
  delegate.OnPermitGranted(operation, expires_at);
  /** Called for an operation that waited. */
  delegate.OnPermitRefused(operation);
  /** Calls AllowanceBook::HandleWake() at a time, or earlier. */
  delegate.WakeForPermits(at);
};

/** Permits that this VM takes from its slots, lends to other VMs and borrows.

    A permit is deducted from one bucket and runs one operation at most: a lost
    message loses permits, and a duplicate or late one adds none. Times are
   those of a clock that counts suspensions of the machine, so that what was
   borrowed before one has expired after it.

    Used on the traffic thread only.

    @tparam D  @see AllowanceDelegate
*/
template <class D>
class AllowanceBook {
 public:
  /** @param delegate        must outlive the book
      @param self            this VM
      @param first_sequence  a number that no earlier process of this VM is
                             likely to have used */
  AllowanceBook(D& delegate, VmId self, uint64_t first_sequence)
      : delegate_(delegate),
        self_(std::move(self)),
        next_sequence_(first_sequence) {
    // Checked here because D is incomplete where it declares its book.
    static_assert(AllowanceDelegate<D>);
  }

  /** Puts the limits of a configuration in force.

      @param teams   the teams; null for none
      @param window  the operators' window
      @param now     the current time */
  void ApplyLimits(const TeamTable* teams,
                   const AllowanceWindow& window,
                   TimePoint now) {
    std::vector<uint64_t> unlimited;
    std::erase_if(teams_, [teams, &unlimited](const auto& row) {
      const Team* team = teams == nullptr ? nullptr : teams->Find(row.first);
      if (team != nullptr && team->limit) {
        return false;
      }
      for (const Waiting& it : row.second.waiting) {
        unlimited.push_back(it.operation);
      }
      return true;
    });
    static const std::map<TeamId, Team> no_teams;
    for (const auto& [id, team] : teams == nullptr ? no_teams : teams->List()) {
      if (!team.limit) {
        continue;
      }
      const BucketRules budget = ComputeTeamBudget(*team.limit, window);
      const auto [it, added] = teams_.try_emplace(id, id, budget, now);
      if (!added && !(it->second.budget == budget)) {
        it->second.budget = budget;
        it->second.limited_since = now;
        it->second.is_placed = false;
      }
    }
    for (const uint64_t it : unlimited) {
      delegate_.OnPermitGranted(it, TimePoint::max());
    }
  }

  /** Puts an assignment of slots in force.

      @param assignment   the assignment; null if it is not known
      @param valid_until  this VM's slots are not used from then on
      @param now          the current time */
  void ApplySlots(const SlotAssignment* assignment,
                  TimePoint valid_until,
                  TimePoint now) {
    if (now >= valid_until_) {
      // Other VMs may have owned the slots meanwhile, so they start empty.
      owned_since_.clear();
      for (auto& [id, state] : teams_) {
        state.own.clear();
      }
      assignment_ = {};
      InvalidatePlacement();
    }
    valid_until_ = valid_until;
    if (assignment == nullptr) {
      return;
    }
    if (assignment_ == *assignment) {
      return;
    }
    std::map<uint32_t, TimePoint> owned;
    for (uint32_t slot = 0; slot < assignment->owners.size(); ++slot) {
      if (assignment->owners[slot].vm == self_) {
        const auto it = owned_since_.find(slot);
        owned.emplace(slot, it == owned_since_.end() ? now : it->second);
      }
    }
    for (auto& [id, state] : teams_) {
      // Another VM may have issued permits from a slot since it was lost here.
      std::erase_if(state.own, [&owned](const auto& row) {
        return !owned.contains(row.first);
      });
    }
    owned_since_ = std::move(owned);
    assignment_ = *assignment;
    InvalidatePlacement();
  }

  /** Replaces the VMs that can be asked for permits.

      @param lenders  the other live VMs */
  void ApplyLenders(std::span<const PermitLender> lenders) {
    if (std::equal(lenders.begin(), lenders.end(), lenders_.begin(),
                   lenders_.end())) {
      return;
    }
    lenders_.assign(lenders.begin(), lenders.end());
    InvalidatePlacement();
  }

  /** Takes a permit for an operation, or has it wait for one.

      @param team       the caller's team
      @param operation  number of the operation, for the delegate
      @param deadline   end of the longest wait
      @param now        the current time
      @returns          whether it may run; kGranted if the team has no limit */
  PermitDecision Take(const TeamId& team,
                      uint64_t operation,
                      TimePoint deadline,
                      TimePoint now) {
    const auto it = teams_.find(team);
    if (it == teams_.end()) {
      return {PermitResult::kGranted, TimePoint::max()};
    }
    TeamState& state = it->second;
    Place(state, now);
    if (state.waiting.empty()) {
      if (const auto expires_at = TakeOne(state, now)) {
        return {PermitResult::kGranted, *expires_at};
      }
    } else {
      RecordDemand(state, now);
    }
    state.waiting.push_back({operation, deadline});
    if (!state.request && !SendRequest(state, now)) {
      state.waiting.pop_back();
      CountRefusal(state, now);
      return {PermitResult::kRefused, now};
    }
    delegate_.WakeForPermits(deadline);
    return {PermitResult::kWait, now};
  }

  /** Takes a permit for an operation whose first one has expired before it was
      sent to an endpoint. It does not wait again.

      @param team  the caller's team
      @param now   the current time
      @returns     whether it may run, kGranted or kRefused */
  PermitDecision TakeAgain(const TeamId& team, TimePoint now) {
    const auto it = teams_.find(team);
    if (it == teams_.end()) {
      return {PermitResult::kGranted, TimePoint::max()};
    }
    TeamState& state = it->second;
    Place(state, now);
    if (const auto expires_at = TakeOne(state, now)) {
      return {PermitResult::kGranted, *expires_at};
    }
    ++counters_.refused_queued;
    LogRefusal(state, "queued", now);
    return {PermitResult::kRefused, now};
  }

  /** Forgets an operation that waits, because its caller has left. */
  void Cancel(const TeamId& team, uint64_t operation) {
    if (const auto it = teams_.find(team); it != teams_.end()) {
      std::erase_if(it->second.waiting, [operation](const Waiting& waiting) {
        return waiting.operation == operation;
      });
    }
  }

  /** Handles a request of another VM.

      @param request  the request
      @param now      the current time
      @returns        the answer */
  PermitGrant HandleRequest(const PermitRequest& request, TimePoint now) {
    PermitGrant grant{request.team, 0, request.sequence};
    if (const auto it = teams_.find(request.team); it != teams_.end()) {
      Place(it->second, now);
      grant.count = TakeOwn(it->second,
                            std::min(request.count, kMaxRequestedPermits), now);
      counters_.lent += grant.count;
    }
    return grant;
  }

  /** Handles the answer to a request. An answer that is not expected, or not
     any more, changes nothing.

      @param from   the VM that has sent it
      @param grant  the answer
      @param now    the current time */
  void HandleGrant(const VmId& from, const PermitGrant& grant, TimePoint now) {
    const auto it = teams_.find(grant.team);
    if (it == teams_.end()) {
      return;
    }
    TeamState& state = it->second;
    if (!state.request || state.request->sequence != grant.sequence ||
        state.request->to != from) {
      return;
    }
    const Request request = *std::exchange(state.request, std::nullopt);
    const uint32_t count = std::min(grant.count, request.count);
    Backoff& backoff = state.backoffs[from];
    if (count == 0) {
      BackOff(backoff, now);
    } else {
      backoff = {};
    }
    const TimePoint expires_at = request.sent_at + kPermitLifetime;
    if (count > 0 && now < expires_at) {
      state.borrowed.push_back({count, expires_at});
    }
    ServeWaiting(state, now);
  }

  /** Handles requests that were not answered, and waits that are over. */
  void HandleWake(TimePoint now) {
    // The delegate may change the table while it is told of a result.
    std::vector<TeamId> due;
    for (const auto& [id, state] : teams_) {
      if (!state.waiting.empty() || state.request) {
        due.push_back(id);
      }
    }
    for (const TeamId& id : due) {
      if (const auto it = teams_.find(id); it != teams_.end()) {
        HandleWake(it->second, now);
      }
    }
  }

  /** @returns the counters */
  const AllowanceCounters& GetCounters() const { return counters_; }
  /** @returns the number of this VM's slots */
  size_t CountOwnSlots() const { return owned_since_.size(); }

 private:
  struct Waiting {
    uint64_t operation = 0;
    TimePoint deadline;
  };
  struct Request {
    VmId to;
    uint32_t count = 0;
    uint64_t sequence = 0;
    TimePoint sent_at;
  };
  struct Borrowed {
    uint32_t count = 0;
    TimePoint expires_at;
  };
  struct Backoff {
    TimePoint until;
    Duration length{};
  };
  struct TeamState {
    TeamState(TeamId team_id, const BucketRules& team_budget, TimePoint now)
        : id(std::move(team_id)), budget(team_budget), limited_since(now) {}

    TeamId id;
    BucketRules budget;
    /** Time at which the budget was set. */
    TimePoint limited_since;
    /** Buckets of this VM's slots, and owners of the others, are up to date. */
    bool is_placed = false;
    std::map<uint32_t, TokenBucket> own;
    /** Other VMs that have slots of the team, nearest first. */
    std::vector<VmId> owners;
    std::deque<Borrowed> borrowed;
    std::deque<Waiting> waiting;
    std::optional<Request> request;
    std::map<VmId, Backoff> backoffs;
    /** Mean number of operations in a second for which this VM has no permit of
        its own. */
    double demand_per_s = 0;
    TimePoint demand_at;
    TimePoint refusal_logged_at;
  };

  void InvalidatePlacement() {
    for (auto& [id, state] : teams_) {
      state.is_placed = false;
    }
  }

  // Finds the team's slots. Done at its next use, because a change of the VMs
  // concerns all teams.
  void Place(TeamState& state, TimePoint now) {
    if (std::exchange(state.is_placed, true)) {
      return;
    }
    const auto slot_count = static_cast<uint32_t>(assignment_.owners.size());
    const uint32_t parts = CountParts(state.budget, slot_count);
    const BucketRules part{state.budget.rate_per_s / parts,
                           state.budget.depth / parts};
    std::map<uint32_t, TokenBucket> own;
    std::vector<VmId> others;
    for (const uint32_t slot : RankSlots(state.id, slot_count, parts)) {
      const auto owned = owned_since_.find(slot);
      if (owned == owned_since_.end()) {
        others.push_back(assignment_.owners[slot].vm);
        continue;
      }
      if (const auto it = state.own.find(slot); it != state.own.end()) {
        it->second.SetRules(part, now);
        own.insert(*it);
      } else {
        // It starts empty when this VM gets the slot, or when a change of the
        // limit makes the slot one of the team's.
        const TimePoint since = std::max(owned->second, state.limited_since);
        own.emplace(slot, TokenBucket(part, since));
      }
    }
    state.own = std::move(own);
    ListOwners(state, others);
  }

  void ListOwners(TeamState& state, std::span<const VmId> others) {
    state.owners.clear();
    for (const PermitLender& it : lenders_) {
      if (std::find(others.begin(), others.end(), it.vm) != others.end()) {
        state.owners.push_back(it.vm);
      }
    }
    const auto distance_of = [this](const VmId& vm) {
      const auto it = std::find_if(
          lenders_.begin(), lenders_.end(),
          [&](const PermitLender& lender) { return lender.vm == vm; });
      return it->distance;
    };
    // VMs begin with different owners of the same distance.
    std::sort(state.owners.begin(), state.owners.end(),
              [&](const VmId& a, const VmId& b) {
                return std::pair(distance_of(a), RankOwner(a)) <
                       std::pair(distance_of(b), RankOwner(b));
              });
  }

  size_t RankOwner(const VmId& vm) const {
    return std::hash<std::string>{}(self_.value + "/" + vm.value);
  }

  uint32_t TakeOwn(TeamState& state, uint32_t n, TimePoint now) {
    if (now >= valid_until_) {
      return 0;
    }
    uint32_t taken = 0;
    for (auto& [slot, bucket] : state.own) {
      if (taken == n) {
        break;
      }
      taken += bucket.Take(n - taken, now);
    }
    return taken;
  }

  // Returns the end of the permit's lifetime, or none if there is no permit.
  std::optional<TimePoint> TakeOne(TeamState& state, TimePoint now) {
    if (TakeOwn(state, 1, now) == 1) {
      ++counters_.granted;
      return now + kPermitLifetime;
    }
    RecordDemand(state, now);
    if (const auto expires_at = TakeBorrowed(state, now)) {
      ++counters_.borrowed;
      return expires_at;
    }
    return std::nullopt;
  }

  std::optional<TimePoint> TakeBorrowed(TeamState& state, TimePoint now) {
    while (!state.borrowed.empty() &&
           (state.borrowed.front().count == 0 ||
            now >= state.borrowed.front().expires_at)) {
      state.borrowed.pop_front();
    }
    if (state.borrowed.empty()) {
      return std::nullopt;
    }
    --state.borrowed.front().count;
    return state.borrowed.front().expires_at;
  }

  void RecordDemand(TeamState& state, TimePoint now) {
    // A second without demand counts as much as one with it.
    const double seconds =
        std::chrono::duration<double>(now - state.demand_at).count();
    state.demand_per_s = state.demand_per_s / (1 + seconds) + 1 / (1 + seconds);
    state.demand_at = now;
  }

  // Returns false if there is no owner to ask.
  bool SendRequest(TeamState& state, TimePoint now) {
    const auto it = std::find_if(state.owners.begin(), state.owners.end(),
                                 [&](const VmId& vm) {
                                   const auto backoff = state.backoffs.find(vm);
                                   return backoff == state.backoffs.end() ||
                                          now >= backoff->second.until;
                                 });
    if (it == state.owners.end()) {
      return false;
    }
    const double expected =
        state.demand_per_s *
        std::chrono::duration<double>(kPermitLookahead).count();
    const auto count = static_cast<uint32_t>(
        std::min<double>(kMaxRequestedPermits,
                         static_cast<double>(state.waiting.size()) + expected));
    state.request = Request{*it, std::max(1U, count), next_sequence_++, now};
    delegate_.SendPermitRequest(
        *it, {state.id, state.request->count, state.request->sequence});
    delegate_.WakeForPermits(now + kPermitRequestTimeout);
    return true;
  }

  static void BackOff(Backoff& backoff, TimePoint now) {
    backoff.length = backoff.length == Duration(0)
                         ? kEmptyOwnerBackoff
                         : std::min(2 * backoff.length, kMaxEmptyOwnerBackoff);
    backoff.until = now + backoff.length;
  }

  void ServeWaiting(TeamState& state, TimePoint now) {
    Place(state, now);
    std::vector<std::pair<uint64_t, TimePoint>> granted;
    while (!state.waiting.empty()) {
      std::optional<TimePoint> expires_at;
      if (TakeOwn(state, 1, now) == 1) {
        ++counters_.granted;
        expires_at = now + kPermitLifetime;
      } else if ((expires_at = TakeBorrowed(state, now))) {
        ++counters_.borrowed;
      } else {
        break;
      }
      granted.emplace_back(state.waiting.front().operation, *expires_at);
      state.waiting.pop_front();
    }
    std::vector<uint64_t> refused;
    if (!state.waiting.empty() && !state.request && !SendRequest(state, now)) {
      for (const Waiting& it : std::exchange(state.waiting, {})) {
        refused.push_back(it.operation);
        CountRefusal(state, now);
      }
    }
    // The delegate may call back, so the state is complete before.
    for (const auto& [operation, expires_at] : granted) {
      delegate_.OnPermitGranted(operation, expires_at);
    }
    for (const uint64_t it : refused) {
      delegate_.OnPermitRefused(it);
    }
  }

  void HandleWake(TeamState& state, TimePoint now) {
    if (state.request &&
        now - state.request->sent_at >= kPermitRequestTimeout) {
      state.backoffs[state.request->to].until = now + kSilentOwnerBackoff;
      state.request.reset();
    }
    std::vector<uint64_t> over;
    std::erase_if(state.waiting, [&](const Waiting& it) {
      if (now >= it.deadline) {
        over.push_back(it.operation);
      }
      return now >= it.deadline;
    });
    counters_.refused_waiting += over.size();
    if (!over.empty()) {
      LogRefusal(state, "waiting", now);
    }
    if (!state.waiting.empty()) {
      // Routes differ in how long their operations wait.
      delegate_.WakeForPermits(
          std::min_element(state.waiting.begin(), state.waiting.end(),
                           [](const Waiting& a, const Waiting& b) {
                             return a.deadline < b.deadline;
                           })
              ->deadline);
    }
    if (state.request) {
      delegate_.WakeForPermits(state.request->sent_at + kPermitRequestTimeout);
    }
    ServeWaiting(state, now);
    for (const uint64_t it : over) {
      delegate_.OnPermitRefused(it);
    }
  }

  void CountRefusal(TeamState& state, TimePoint now) {
    const bool is_empty = std::any_of(
        state.backoffs.begin(), state.backoffs.end(),
        [](const auto& row) { return row.second.length > Duration(0); });
    if (is_empty || !state.own.empty()) {
      ++counters_.refused_empty;
    } else {
      ++counters_.refused_unreachable;
    }
    LogRefusal(state, is_empty || !state.own.empty() ? "empty" : "unreachable",
               now);
  }

  void LogRefusal(TeamState& state, std::string_view reason, TimePoint now) {
    if (state.refusal_logged_at != TimePoint{} &&
        now - state.refusal_logged_at < kRefusalLogInterval) {
      return;
    }
    state.refusal_logged_at = now;
    LogEvent(Event::kAllowanceExceeded,
             {{"team", state.id.value},
              {"reason", std::string(reason)},
              {"own_slots", std::to_string(state.own.size())},
              {"owners", std::to_string(state.owners.size())}});
  }

  D& delegate_;
  const VmId self_;
  uint64_t next_sequence_;
  std::map<TeamId, TeamState> teams_;
  SlotAssignment assignment_;
  std::map<uint32_t, TimePoint> owned_since_;
  TimePoint valid_until_;
  std::vector<PermitLender> lenders_;
  AllowanceCounters counters_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ALLOWANCE_BOOK_ALLOWANCE_BOOK_H_
