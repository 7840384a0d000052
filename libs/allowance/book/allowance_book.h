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
#include "allowance/book/team_permits.h"
#include "allowance/budget/team_budget.h"
#include "allowance/slots/slot_assignment.h"
#include "core/core.h"
#include "directory/directory.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** Longest wait for the answer to a request: two trips between regions, and the
    time of a busy VM. */
inline constexpr Duration kPermitRequestTimeout =
    std::chrono::milliseconds(120);
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
      it->second.permits.SetBudget(budget, now);
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
      sources_.owned_since.clear();
      sources_.assignment = {};
      HandleSourcesChanged();
    }
    valid_until_ = valid_until;
    if (assignment == nullptr) {
      return;
    }
    if (sources_.assignment == *assignment) {
      return;
    }
    std::map<uint32_t, TimePoint> owned;
    for (uint32_t slot = 0; slot < assignment->owners.size(); ++slot) {
      if (assignment->owners[slot].vm == self_) {
        const auto it = sources_.owned_since.find(slot);
        owned.emplace(slot,
                      it == sources_.owned_since.end() ? now : it->second);
      }
    }
    sources_.owned_since = std::move(owned);
    sources_.assignment = *assignment;
    HandleSourcesChanged();
  }

  /** Replaces the VMs that can be asked for permits.

      @param lenders  the other live VMs */
  void ApplyLenders(std::span<const PermitLender> lenders) {
    if (std::equal(lenders.begin(), lenders.end(), sources_.lenders.begin(),
                   sources_.lenders.end())) {
      return;
    }
    sources_.lenders.assign(lenders.begin(), lenders.end());
    HandleSourcesChanged();
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
    state.permits.Place(sources_, self_, now);
    if (state.waiting.empty()) {
      if (const auto expires_at = TakeOne(state, now)) {
        return {PermitResult::kGranted, *expires_at};
      }
    } else {
      state.permits.RecordDemand(now);
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
    state.permits.Place(sources_, self_, now);
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
      it->second.permits.Place(sources_, self_, now);
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
    if (count == 0) {
      state.permits.BackOffEmpty(from, now);
    } else {
      state.permits.EndBackoff(from);
    }
    const TimePoint expires_at = request.sent_at + kPermitLifetime;
    if (count > 0 && now < expires_at) {
      state.permits.AddBorrowed(count, expires_at);
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
  size_t CountOwnSlots() const { return sources_.owned_since.size(); }

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
  struct TeamState {
    TeamState(const TeamId& team, const BucketRules& budget, TimePoint now)
        : id(team), permits(team, budget, now) {}

    TeamId id;
    TeamPermits permits;
    std::deque<Waiting> waiting;
    std::optional<Request> request;
    TimePoint refusal_logged_at;
  };

  void HandleSourcesChanged() {
    for (auto& [id, state] : teams_) {
      state.permits.DropLost(sources_.owned_since);
      state.permits.Invalidate();
    }
  }

  uint32_t TakeOwn(TeamState& state, uint32_t n, TimePoint now) {
    return now < valid_until_ ? state.permits.TakeOwn(n, now) : 0;
  }

  // Returns the end of the permit's lifetime, or none if there is no permit.
  std::optional<TimePoint> TakeOne(TeamState& state, TimePoint now) {
    if (TakeOwn(state, 1, now) == 1) {
      ++counters_.granted;
      return now + kPermitLifetime;
    }
    state.permits.RecordDemand(now);
    if (const auto expires_at = state.permits.TakeBorrowed(now)) {
      ++counters_.borrowed;
      return expires_at;
    }
    return std::nullopt;
  }

  // Returns false if there is no owner to ask.
  bool SendRequest(TeamState& state, TimePoint now) {
    const VmId* owner = state.permits.FindOwner(now);
    if (owner == nullptr) {
      return false;
    }
    const double expected =
        state.permits.GetDemandPerSecond() *
        std::chrono::duration<double>(kPermitLookahead).count();
    const auto count = static_cast<uint32_t>(
        std::min<double>(kMaxRequestedPermits,
                         static_cast<double>(state.waiting.size()) + expected));
    state.request = Request{*owner, std::max(1U, count), next_sequence_++, now};
    delegate_.SendPermitRequest(
        *owner, {state.id, state.request->count, state.request->sequence});
    delegate_.WakeForPermits(now + kPermitRequestTimeout);
    return true;
  }

  void ServeWaiting(TeamState& state, TimePoint now) {
    state.permits.Place(sources_, self_, now);
    std::vector<std::pair<uint64_t, TimePoint>> granted;
    while (!state.waiting.empty()) {
      std::optional<TimePoint> expires_at;
      if (TakeOwn(state, 1, now) == 1) {
        ++counters_.granted;
        expires_at = now + kPermitLifetime;
      } else if ((expires_at = state.permits.TakeBorrowed(now))) {
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
      state.permits.BackOffSilent(state.request->to, now);
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
    const bool is_empty = state.permits.HasFoundEmptyBucket();
    ++(is_empty ? counters_.refused_empty : counters_.refused_unreachable);
    LogRefusal(state, is_empty ? "empty" : "unreachable", now);
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
              {"own_slots", std::to_string(state.permits.CountOwnSlots())},
              {"owners", std::to_string(state.permits.CountOwners())}});
  }

  D& delegate_;
  const VmId self_;
  uint64_t next_sequence_;
  std::map<TeamId, TeamState> teams_;
  PermitSources sources_;
  TimePoint valid_until_;
  AllowanceCounters counters_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ALLOWANCE_BOOK_ALLOWANCE_BOOK_H_
