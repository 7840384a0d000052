#ifndef MAGNOLIAREEL_FAILOVER_DRIVER_GROUP_DRIVER_H_
#define MAGNOLIAREEL_FAILOVER_DRIVER_GROUP_DRIVER_H_

#include <concepts>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/core.h"
#include "failover/endpoint_link.h"
#include "failover/grants/grant_cache.h"
#include "failover/groups/group_state.h"
#include "failover/promotion/promotion.h"

namespace magnoliareel {

/** Why a group needs a new primary. */
enum class PromotionReason {
  kNoPrimary,
  kPrimaryLost,
  kPrimaryLeaving,
  kOrdered
};

/** @param reason  any reason  @returns its name in logs */
std::string_view GetPromotionReasonName(PromotionReason reason);

/** When to act on what was observed. */
struct DriverTiming {
  /** Silence after which a primary counts as lost. */
  Duration suspect_timeout = std::chrono::milliseconds(700);
  /** Time without any primary after which one is chosen. */
  Duration no_primary_timeout = std::chrono::milliseconds(300);
  /** Extra time that each lower rank leaves to the ranks above it. */
  Duration rank_delay = std::chrono::milliseconds(600);
  /** Time that a leaving primary's replicas get to catch up. */
  Duration catch_up_timeout = std::chrono::milliseconds(500);
};

/** Since when a group has been in a state that calls for a new primary. */
struct PromotionTriggers {
  /** No primary has been known since then. */
  std::optional<TimePoint> no_primary_since;
  /** The primary has been leaving since then. */
  std::optional<TimePoint> leaving_since;

  /** Brings the times up to date.

      @param state  the group's reports
      @param now    the present
  */
  void Update(const GroupState& state, TimePoint now);
};

/** Decides from a group's reports whether it needs a new primary.

    @param state     the group's reports
    @param concerns  since when the group has been in a poor state
    @param timing    when to act
    @param rank      rank of this VM among the group's drivers
    @param now       the present
    @returns         the reason, or nothing
*/
std::optional<PromotionReason> FindPromotionReason(
    const GroupState& state,
    const PromotionTriggers& concerns,
    const DriverTiming& timing,
    size_t rank,
    TimePoint now);

/** Time without progress after which a replica that is behind is told again
    whom to follow. */
inline constexpr Duration kReplicationStallTimeout =
    std::chrono::milliseconds(600);

/** @param replica  state of a replica
    @param primary  state of its group's primary
    @param now      the present
    @returns        whether the replica evidently replicates from the primary
*/
bool IsFollowing(const MemberState& replica,
                 const MemberState& primary,
                 TimePoint now);

/** Where a granted term comes from. @see PrefetchedGrants, OnDemandGrants */
template <class T>
concept GrantPolicy = requires {
  { T::kPrefetches } -> std::convertible_to<bool>;
};

/** Terms are granted while all is well; a promotion needs no store. */
struct PrefetchedGrants {
  /** Whether a grant is fetched before it is needed. */
  static constexpr bool kPrefetches = true;
};

/** A term is granted when a promotion needs it; the baseline. */
struct OnDemandGrants {
  /** Whether a grant is fetched before it is needed. */
  static constexpr bool kPrefetches = false;
};

/** What a driver tells its process about. */
struct DriverEvents {
  /** A promotion begins. */
  std::function<void(Term, PromotionReason)> on_started;
  /** A promotion has ended; the time is since it began. */
  std::function<void(const PromotionResult&, Duration)> on_ended;
  /** A grant was asked for; the error, if any. */
  std::function<void(std::error_code)> on_refill;
};

/** Names a group and its endpoints for a driver. */
struct DriverScope {
  /** The group. */
  GroupId group;
  /** Its endpoints. */
  std::vector<EndpointId> endpoints;
  /** Gives the address at which endpoints reach each other. */
  std::function<std::string(const EndpointId&)> address_of;
};

/** Watches over the primary of one group: promotes another one when needed and
    tells the other endpoints to follow it.

    Several VMs may drive one group at a time: terms are unique to their grant,
    endpoints refuse the lower one, and whoever is refused backs off.

    @tparam E  the control thread
    @tparam L  calls endpoints
    @tparam S  the platform's table
    @tparam G  when terms are granted
*/
template <Executor E, EndpointLink L, GrantStore S, GrantPolicy G>
class GroupDriver {
 public:
  /** Longest pause after a failed promotion. */
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(400);
  /** Least time between two orders to follow, for one endpoint. */
  static constexpr Duration kMinFollowInterval = std::chrono::milliseconds(200);
  /** Least time between two attempts to get a grant. */
  static constexpr Duration kMinRefillInterval = std::chrono::milliseconds(200);
  /** Longest time for an endpoint to accept an order to follow. */
  static constexpr Duration kFollowTimeout = std::chrono::milliseconds(400);

  /** Asks other VMs whether they too miss an endpoint; calls back with true if
      none of them has heard from it lately. */
  using Confirm =
      std::function<void(const EndpointId&, std::function<void(bool)>)>;

  /** @param executor  the control thread
      @param link      calls the endpoints
      @param store     the platform's table
      @param scope     the group
      @param holder    this process
      @param timing    when to act
      @param confirm   asks other VMs
      @param events    what to report
      @param seed      of the jitter
  */
  GroupDriver(E& executor,
              L& link,
              S& store,
              DriverScope scope,
              GrantHolder holder,
              DriverTiming timing,
              Confirm confirm,
              DriverEvents events,
              uint64_t seed)
      : executor_(executor),
        link_(link),
        scope_(std::move(scope)),
        timing_(timing),
        confirm_(std::move(confirm)),
        events_(std::move(events)),
        grants_(store, scope_.group, std::move(holder)),
        random_(seed) {}

  /** Sets this VM's rank among the group's drivers.

      @param drivers  VMs that may drive the group, in order
      @param rank     this VM's place; nothing if it does not drive the group
  */
  void SetRank(std::span<const VmId> drivers, std::optional<size_t> rank) {
    drivers_.assign(drivers.begin(), drivers.end());
    rank_ = rank;
  }

  /** Orders a change of primary at the next Tick().

      @returns  false if this VM does not drive the group
  */
  bool OrderPromotion() {
    is_ordered_ = rank_.has_value();
    return is_ordered_;
  }

  /** Acts on the group's present state; called several times a second.

      @param state  the group's reports
  */
  void Tick(const GroupState& state) {
    const TimePoint now = executor_.Now();
    concerns_.Update(state, now);
    if (!rank_) {
      return;
    }
    if constexpr (G::kPrefetches) {
      RefillGrant(state, now);
    }
    SendFollowers(state, now);
    if (is_busy_ || now < paused_until_) {
      return;
    }
    const auto reason = FindReason(state, now);
    if (!reason) {
      return;
    }
    if (*reason == PromotionReason::kPrimaryLost) {
      ConfirmThenPromote(state);
    } else {
      Promote(state, *reason);
    }
  }

 private:
  std::optional<PromotionReason> FindReason(const GroupState& state,
                                            TimePoint now) const {
    if (is_ordered_) {
      return PromotionReason::kOrdered;
    }
    return FindPromotionReason(state, concerns_, timing_, *rank_, now);
  }

  void RefillGrant(const GroupState& state, TimePoint now) {
    if (now < next_refill_ || grants_.Peek(state.GetHighestTerm())) {
      return;
    }
    next_refill_ = now + kMinRefillInterval;
    grants_.Refill(drivers_, state.GetHighestTerm(), events_.on_refill);
  }

  void ConfirmThenPromote(const GroupState& state) {
    const auto primary = state.GetPrimary();
    is_busy_ = true;
    confirm_(primary->endpoint, [this, &state](bool is_lost) {
      is_busy_ = false;
      if (!is_lost) {
        BackOffWithJitter();
        return;
      }
      // The state may have changed while other VMs were asked.
      const auto reason = FindReason(state, executor_.Now());
      if (reason == PromotionReason::kPrimaryLost) {
        Promote(state, *reason);
      }
    });
  }

  void Promote(const GroupState& state, PromotionReason reason) {
    const Term highest = state.GetHighestTerm();
    const std::optional<Term> term = grants_.Take(highest);
    if (!term) {
      RefillGrant(state, executor_.Now());
      return;
    }
    is_busy_ = true;
    is_ordered_ = false;
    events_.on_started(*term, reason);
    std::make_shared<Promotion<E, L>>(
        executor_, link_, scope_.endpoints, FindReplacedPrimary(state, reason),
        *term,
        [this, started = executor_.Now()](const PromotionResult& end) {
          is_busy_ = false;
          if (end.ec) {
            BackOffWithJitter();
          }
          events_.on_ended(end, executor_.Now() - started);
        })
        ->Start();
  }

  static EndpointId FindReplacedPrimary(const GroupState& state,
                                        PromotionReason reason) {
    const auto primary = state.GetPrimary();
    const bool is_replaced = primary && reason != PromotionReason::kNoPrimary;
    return is_replaced ? primary->endpoint : EndpointId{};
  }

  void SendFollowers(const GroupState& state, TimePoint now) {
    const auto primary = state.GetPrimary();
    if (!primary || now < next_follow_) {
      return;
    }
    next_follow_ = now + kMinFollowInterval;
    for (const MemberState& it : state.GetMembers()) {
      if (it.endpoint == primary->endpoint || !it.report || !it.is_reachable) {
        continue;
      }
      if (!IsFollowing(it, *state.Find(primary->endpoint), now)) {
        SendFollow(it.endpoint, *primary);
      }
    }
  }

  void SendFollow(const EndpointId& endpoint, const PrimaryView& primary) {
    EndpointCall call;
    call.verb = EndpointVerb::kFollow;
    call.term = primary.term;
    call.primary_address = scope_.address_of(primary.endpoint);
    link_.Call(endpoint, std::move(call), kFollowTimeout,
               [](const EndpointReply&) {});
  }

  void BackOffWithJitter() {
    std::uniform_int_distribution<int64_t> spread(kMaxBackoff.count() / 4,
                                                  kMaxBackoff.count());
    paused_until_ = executor_.Now() + Duration(spread(random_));
  }

  E& executor_;
  L& link_;
  const DriverScope scope_;
  const DriverTiming timing_;
  const Confirm confirm_;
  const DriverEvents events_;
  GrantCache<S> grants_;
  ProcessRandom random_;
  std::vector<VmId> drivers_;
  std::optional<size_t> rank_;
  PromotionTriggers concerns_;
  TimePoint paused_until_;
  TimePoint next_refill_;
  TimePoint next_follow_;
  bool is_busy_ = false;
  bool is_ordered_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_FAILOVER_DRIVER_GROUP_DRIVER_H_
