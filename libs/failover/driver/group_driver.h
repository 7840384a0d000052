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

/** Reason for a promotion. */
enum class PromotionReason {
  /** The group has no known primary. */
  kNoPrimary,
  /** The primary does not answer. */
  kPrimaryLost,
  /** The primary reports that it leaves the group. */
  kPrimaryLeaving,
  /** The promotion was ordered through GroupDriver::OrderPromotion(). */
  kOrdered
};

/** @param reason  reason for a promotion
    @returns       its name in logs
*/
std::string_view GetPromotionReasonName(PromotionReason reason);

/** Timeouts and delays of a GroupDriver. */
struct DriverTiming {
  /** Time without an answer after which a primary counts as lost. */
  Duration suspect_timeout = std::chrono::milliseconds(700);
  /** Time without a known primary after which one is promoted. */
  Duration no_primary_timeout = std::chrono::milliseconds(300);
  /** Additional delay per rank, so that drivers of higher rank act first. */
  Duration rank_delay = std::chrono::milliseconds(600);
  /** Longest wait for the replicas of a leaving primary to catch up. */
  Duration catch_up_timeout = std::chrono::milliseconds(500);
};

/** Conditions that call for a promotion, each with the time since which it has
    held without interruption. */
struct PromotionTriggers {
  /** Start of the period without a known primary. */
  std::optional<TimePoint> no_primary_since;
  /** Start of the period in which the primary has been leaving. */
  std::optional<TimePoint> leaving_since;

  /** Updates the times.

      @param state  current state of the group
      @param now    current time
  */
  void Update(const GroupState& state, TimePoint now);
};

/** Decides whether a group needs a new primary.

    @param state     current state of the group
    @param triggers  conditions that call for a promotion
    @param timing    timeouts and delays to apply
    @param rank      rank of this VM among the group's drivers; 0 is the highest
    @param now       current time
    @returns         the reason for a promotion; nothing if none is due or no
                     majority of the group is reachable
*/
std::optional<PromotionReason> FindPromotionReason(
    const GroupState& state,
    const PromotionTriggers& triggers,
    const DriverTiming& timing,
    size_t rank,
    TimePoint now);

/** Time without progress after which a lagging replica is sent the address of
    the primary again. */
inline constexpr Duration kReplicationStallTimeout =
    std::chrono::milliseconds(600);

/** @param replica  state of a replica
    @param primary  state of the primary of its group
    @param now      current time
    @returns        whether the replica's reports show that it replicates from
                    the primary
*/
bool IsFollowing(const MemberState& replica,
                 const MemberState& primary,
                 TimePoint now);

/** Concept of a policy that sets when terms are granted.

    @see PrefetchedGrants, OnDemandGrants
*/
template <class T>
concept GrantPolicy = requires {
  { T::kPrefetches } -> std::convertible_to<bool>;
};

/** Obtains terms in advance, so that a promotion does not need the store. */
struct PrefetchedGrants {
  /** True if a grant is fetched before a promotion needs it. */
  static constexpr bool kPrefetches = true;
};

/** Baseline: obtains a term when a promotion needs it. */
struct OnDemandGrants {
  /** True if a grant is fetched before a promotion needs it. */
  static constexpr bool kPrefetches = false;
};

/** Callbacks for the events of a GroupDriver; every member is set. */
struct DriverEvents {
  /** A promotion has started. */
  std::function<void(Term, PromotionReason)> on_started;
  /** A promotion has ended; receives its result and its duration. */
  std::function<void(const PromotionResult&, Duration)> on_ended;
  /** A grant was requested; receives the error, or an empty code. */
  std::function<void(std::error_code)> on_refill;
};

/** A group and its endpoints, as a GroupDriver needs them. */
struct DriverScope {
  /** The group. */
  GroupId group;
  /** Endpoints of the group. */
  std::vector<EndpointId> endpoints;
  /** Returns the address at which other endpoints reach an endpoint. */
  std::function<std::string(const EndpointId&)> address_of;
};

/** Monitors the primary of one group, promotes another endpoint when needed and
    commands the replicas to follow the current primary.

    Several VMs may drive a group at the same time: each term is granted only
    once, endpoints refuse the lower of two terms, and a driver whose promotion
    fails backs off.

    @tparam E  executor of the control thread
    @tparam L  link that calls the endpoints
    @tparam S  store of the platform's table
    @tparam G  policy that sets when terms are granted
*/
template <Executor E, EndpointLink L, GrantStore S, GrantPolicy G>
class GroupDriver {
 public:
  /** Longest pause after a promotion failed or was not confirmed. */
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(400);
  /** Shortest interval between two follow commands to one endpoint. */
  static constexpr Duration kMinFollowInterval = std::chrono::milliseconds(200);
  /** Shortest interval between two attempts to obtain a grant. */
  static constexpr Duration kMinRefillInterval = std::chrono::milliseconds(200);
  /** Longest wait for the answer to a follow command. */
  static constexpr Duration kFollowTimeout = std::chrono::milliseconds(400);

  /** Asks other VMs whether they have lost contact with an endpoint too; the
      callback receives true if none of them has heard from it recently. */
  using ConfirmLost =
      std::function<void(const EndpointId&, std::function<void(bool)>)>;

  /** @param executor      executor of the control thread
      @param link          link that calls the endpoints
      @param store         store of the platform's table
      @param scope         the group and its endpoints
      @param holder        this process
      @param timing        timeouts and delays
      @param confirm_lost  asks other VMs whether the primary is lost
      @param events        callbacks for the driver's events
      @param seed          seed of the backoff's jitter
  */
  GroupDriver(E& executor,
              L& link,
              S& store,
              DriverScope scope,
              GrantHolder holder,
              DriverTiming timing,
              ConfirmLost confirm_lost,
              DriverEvents events,
              uint64_t seed)
      : executor_(executor),
        link_(link),
        scope_(std::move(scope)),
        timing_(timing),
        confirm_lost_(std::move(confirm_lost)),
        events_(std::move(events)),
        grants_(store, scope_.group, std::move(holder)),
        random_(seed) {}

  /** Sets this VM's rank among the group's drivers.

      @param drivers  VMs that may drive the group, highest rank first
      @param rank     rank of this VM, 0 being the highest; nothing if it does
                      not drive the group
  */
  void SetRank(std::span<const VmId> drivers, std::optional<size_t> rank) {
    drivers_.assign(drivers.begin(), drivers.end());
    rank_ = rank;
  }

  /** Orders a promotion, which a following Tick() starts.

      @returns  false if this VM does not drive the group
  */
  bool OrderPromotion() {
    is_promotion_ordered_ = rank_.has_value();
    return is_promotion_ordered_;
  }

  /** Acts on the state of the group; called several times a second.

      @param state  current state of the group; outlives this driver
  */
  void Tick(const GroupState& state) {
    const TimePoint now = executor_.Now();
    triggers_.Update(state, now);
    if (!rank_) {
      return;
    }
    if constexpr (G::kPrefetches) {
      RefillGrant(state, now);
    }
    SendFollowToReplicas(state, now);
    if (is_busy_ || now < backoff_until_) {
      return;
    }
    const auto reason = FindDueReason(state, now);
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
  std::optional<PromotionReason> FindDueReason(const GroupState& state,
                                               TimePoint now) const {
    if (is_promotion_ordered_) {
      return PromotionReason::kOrdered;
    }
    return FindPromotionReason(state, triggers_, timing_, *rank_, now);
  }

  void RefillGrant(const GroupState& state, TimePoint now) {
    if (now < next_refill_time_ || grants_.Peek(state.GetHighestTerm())) {
      return;
    }
    next_refill_time_ = now + kMinRefillInterval;
    grants_.Refill(drivers_, state.GetHighestTerm(), events_.on_refill);
  }

  void ConfirmThenPromote(const GroupState& state) {
    const auto primary = state.GetPrimary();
    is_busy_ = true;
    confirm_lost_(primary->endpoint, [this, &state](bool is_lost) {
      is_busy_ = false;
      if (!is_lost) {
        BackOffWithJitter();
        return;
      }
      if (!rank_) {
        // Meanwhile another VM has become the group's driver.
        return;
      }
      // The state may have changed while the other VMs answered.
      const auto reason = FindDueReason(state, executor_.Now());
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
    is_promotion_ordered_ = false;
    events_.on_started(*term, reason);
    std::make_shared<Promotion<E, L>>(
        executor_, link_, scope_.endpoints, FindReplacedPrimary(state, reason),
        *term,
        [this, started = executor_.Now()](const PromotionResult& result) {
          is_busy_ = false;
          if (result.ec) {
            BackOffWithJitter();
          }
          events_.on_ended(result, executor_.Now() - started);
        })
        ->Start();
  }

  static EndpointId FindReplacedPrimary(const GroupState& state,
                                        PromotionReason reason) {
    const auto primary = state.GetPrimary();
    const bool is_replaced = primary && reason != PromotionReason::kNoPrimary;
    return is_replaced ? primary->endpoint : EndpointId{};
  }

  void SendFollowToReplicas(const GroupState& state, TimePoint now) {
    const auto primary = state.GetPrimary();
    if (!primary || now < next_follow_time_) {
      return;
    }
    next_follow_time_ = now + kMinFollowInterval;
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
    backoff_until_ = executor_.Now() + Duration(spread(random_));
  }

  E& executor_;
  L& link_;
  const DriverScope scope_;
  const DriverTiming timing_;
  const ConfirmLost confirm_lost_;
  const DriverEvents events_;
  GrantCache<S> grants_;
  ProcessRandom random_;
  std::vector<VmId> drivers_;
  std::optional<size_t> rank_;
  PromotionTriggers triggers_;
  TimePoint backoff_until_;
  TimePoint next_refill_time_;
  TimePoint next_follow_time_;
  bool is_busy_ = false;
  bool is_promotion_ordered_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_FAILOVER_DRIVER_GROUP_DRIVER_H_
