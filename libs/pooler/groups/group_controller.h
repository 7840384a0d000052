#ifndef MAGNOLIAREEL_POOLER_GROUPS_GROUP_CONTROLLER_H_
#define MAGNOLIAREEL_POOLER_GROUPS_GROUP_CONTROLLER_H_

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/core.h"
#include "document/document.h"
#include "failover/failover.h"
#include "pooler/core/pooler_events.h"
#include "pooler/groups/condition_wait_list.h"
#include "pooler/groups/group_watcher.h"
#include "pooler/policies/pooler_policy.h"

namespace magnoliareel {

/** Settings and dependencies of a pooler, besides its executor, link and
    store. */
struct PoolerOptions {
  /** This VM. */
  VmId vm;
  /** Differs for every start of the process. */
  std::string incarnation;
  /** Timeouts and delays of promotions. */
  DriverTiming timing;
  /** Seed of the backoff's jitter. */
  uint64_t seed = 0;
  /** Returns the address at which other endpoints reach an endpoint. */
  std::function<std::string(const EndpointId&)> address_of;
  /** Asks other VMs whether they have lost contact with an endpoint too.
      @see GroupDriver::ConfirmLost */
  std::function<
      void(const GroupId&, const EndpointId&, std::function<void(bool)>)>
      confirm_lost;
  /** Callbacks for the pooler's events. */
  PoolerEvents events = PoolerEvents::Ignore();
};

/** Callbacks for changes in a group that affect its running statements; every
    member is set. */
struct GroupListener {
  /** The primary of a new term is known. */
  std::function<void(const PrimaryView&)> on_primary;
  /** An endpoint became unreachable. */
  std::function<void(const EndpointId&)> on_unreachable;
};

/** Controls one group at a pooler: monitors its endpoints, holds the requests
    that wait for a change of its state, and drives its failover.

    @tparam E  executor of the control thread
    @tparam L  link that calls the endpoints
    @tparam S  store of the platform's table
    @tparam P  policy: the product's behaviour or a baseline
*/
template <Executor E, EndpointLink L, GrantStore S, PoolerPolicy P>
class GroupController {
 public:
  /** Interval at which Tick() is called. */
  static constexpr Duration kTickInterval = std::chrono::milliseconds(20);

  /** @param executor  executor of the control thread
      @param link      link that calls the endpoints
      @param store     store of the platform's table
      @param config    the group
      @param options   options of the pooler; outlive this controller
      @param listener  callbacks for changes that affect running statements
  */
  GroupController(E& executor,
                  L& link,
                  S& store,
                  const GroupConfig& config,
                  const PoolerOptions& options,
                  GroupListener listener)
      : executor_(executor),
        options_(options),
        listener_(std::move(listener)),
        group_(config.group),
        watcher_(executor,
                 link,
                 ListEndpoints(config),
                 [this](const EndpointId& endpoint, bool is_reachable) {
                   HandleObservation(endpoint, is_reachable);
                 }),
        driver_(
            executor,
            link,
            store,
            DriverScope{config.group, ListEndpoints(config),
                        options.address_of},
            GrantHolder{options.vm, options.incarnation},
            options.timing,
            [this](const EndpointId& endpoint, std::function<void(bool)> done) {
              options_.confirm_lost(group_, endpoint, std::move(done));
            },
            MakeDriverEvents(),
            options.seed) {
    watcher_.Start();
  }

  /** Sets this VM's rank. @see GroupDriver::SetRank */
  void SetRank(std::span<const VmId> drivers, std::optional<size_t> rank) {
    driver_.SetRank(drivers, rank);
  }

  /** Orders a promotion.

      @returns  false if this VM does not drive the group
  */
  bool OrderPromotion() { return driver_.OrderPromotion(); }

  /** Processes timers and the driver; called every kTickInterval. */
  void Tick() {
    ProcessWaiting();
    driver_.Tick(GetState());
  }

  /** Records the report that came with the answer to a statement.
      @see GroupWatcher::RecordReport */
  void RecordReport(const EndpointId& endpoint,
                    const EndpointReport& report,
                    TimePoint request_time) {
    watcher_.RecordReport(endpoint, report, request_time);
  }

  /** Waits until a majority holds a write.

      @param point     log point of the write
      @param term      term in which the write ran
      @param deadline  time at which the wait ends
      @param done      receives whether the write is acknowledged
  */
  void AwaitAcknowledgement(LogPoint point,
                            Term term,
                            TimePoint deadline,
                            AckTracker::Completion done) {
    if constexpr (!P::kMajorityAcks) {
      done(true);
      return;
    }
    acks_.Add(point, term, executor_.Now(), deadline, std::move(done));
    ProcessWaiting();
  }

  /** Waits until a condition on the group holds. @see ConditionWaitList::Add */
  void AwaitCondition(ConditionWaitList::Condition condition,
                      TimePoint deadline,
                      ConditionWaitList::Completion done) {
    conditions_.Add(std::move(condition), deadline, std::move(done));
  }

  /** @returns waiting time of the oldest unacknowledged write */
  Duration GetAckDelay() const { return acks_.GetOldestAge(executor_.Now()); }

  /** @returns the state of the group */
  const GroupState& GetState() const { return watcher_.GetState(); }

 private:
  static std::vector<EndpointId> ListEndpoints(const GroupConfig& config) {
    std::vector<EndpointId> endpoints;
    for (const EndpointConfig& it : config.endpoints) {
      endpoints.push_back(it.endpoint);
    }
    return endpoints;
  }

  DriverEvents MakeDriverEvents() {
    return {
        [this](Term term, PromotionReason reason) {
          options_.events.on_promotion_started(group_, term, reason);
        },
        [this](const PromotionResult& result, Duration duration) {
          options_.events.on_promotion_ended(group_, result, duration);
        },
        [this](std::error_code ec) { options_.events.on_grant(group_, ec); }};
  }

  void HandleObservation(const EndpointId& endpoint, bool is_reachable) {
    auto& was_reachable = reachable_[endpoint];
    if (was_reachable != is_reachable) {
      was_reachable = is_reachable;
      options_.events.on_reachability(endpoint, is_reachable);
      if (!is_reachable) {
        listener_.on_unreachable(endpoint);
      }
    }
    UpdateLeaving(endpoint);
    const auto primary = GetState().GetPrimary();
    if (primary && primary->term > primary_term_) {
      primary_term_ = primary->term;
      options_.events.on_primary(group_, *primary);
      listener_.on_primary(*primary);
    }
    ProcessWaiting();
  }

  void UpdateLeaving(const EndpointId& endpoint) {
    const MemberState* member = GetState().Find(endpoint);
    const bool is_leaving = member->report && member->report->is_leaving;
    if (!is_leaving) {
      leaving_.erase(endpoint);
    } else if (leaving_.insert(endpoint).second) {
      options_.events.on_leaving(endpoint);
    }
  }

  void ProcessWaiting() {
    acks_.Update(GetState());
    acks_.AbandonBefore(GetState().GetHighestTerm());
    acks_.Expire(executor_.Now());
    conditions_.Check(executor_.Now());
  }

  E& executor_;
  const PoolerOptions& options_;
  const GroupListener listener_;
  const GroupId group_;
  AckTracker acks_;
  ConditionWaitList conditions_;
  std::unordered_map<EndpointId, std::optional<bool>> reachable_;
  std::unordered_set<EndpointId> leaving_;
  Term primary_term_;
  GroupWatcher<E, L> watcher_;
  GroupDriver<E, L, S, typename P::Grants> driver_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_GROUPS_GROUP_CONTROLLER_H_
