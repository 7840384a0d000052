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

/** What a pooler needs besides its executor, link and store. */
struct PoolerOptions {
  /** This VM. */
  VmId vm;
  /** Differs for every start of the process. */
  std::string incarnation;
  /** When to promote. */
  DriverTiming timing;
  /** Seed of all jitter. */
  uint64_t seed = 0;
  /** Address at which endpoints reach an endpoint. */
  std::function<std::string(const EndpointId&)> address_of;
  /** Asks other VMs whether they too miss an endpoint. */
  std::function<
      void(const GroupId&, const EndpointId&, std::function<void(bool)>)>
      confirm_lost;
  /** What to report. */
  PoolerEvents events = PoolerEvents::Ignore();
};

/** Learns of changes in a group that concern its running statements; every
    member is set. */
struct GroupListener {
  /** A primary of a new term is in office. */
  std::function<void(const PrimaryView&)> on_primary;
  /** An endpoint has ceased to answer. */
  std::function<void(const EndpointId&)> on_unreachable;
};

/** One group at a pooler: its watch, the writes and reads that wait on it, and
    its driver.

    @tparam E  the control thread
    @tparam L  calls the endpoints
    @tparam S  the platform's table
    @tparam P  the product's behaviour or a baseline
*/
template <Executor E, EndpointLink L, GrantStore S, PoolerPolicy P>
class GroupController {
 public:
  /** Least time between two looks at timers and the driver. */
  static constexpr Duration kTickInterval = std::chrono::milliseconds(20);

  /** @param executor  the control thread
      @param link      calls the endpoints
      @param store     the platform's table
      @param shape     the group
      @param options   of the pooler; outlives this
      @param listener  learns of changes that concern running statements
  */
  GroupController(E& executor,
                  L& link,
                  S& store,
                  const GroupShape& shape,
                  const PoolerOptions& options,
                  GroupListener listener)
      : executor_(executor),
        options_(options),
        listener_(std::move(listener)),
        group_(shape.group),
        watch_(executor,
               link,
               ListEndpoints(shape),
               [this](const EndpointId& endpoint, bool is_reachable) {
                 Observe(endpoint, is_reachable);
               }),
        driver_(
            executor,
            link,
            store,
            DriverScope{shape.group, ListEndpoints(shape), options.address_of},
            GrantHolder{options.vm, options.incarnation},
            options.timing,
            [this](const EndpointId& endpoint, std::function<void(bool)> done) {
              options_.confirm_lost(group_, endpoint, std::move(done));
            },
            MakeDriverEvents(),
            options.seed) {
    watch_.Start();
  }

  /** Sets this VM's rank. @see GroupDriver::SetRank */
  void SetRank(std::span<const VmId> drivers, std::optional<size_t> rank) {
    driver_.SetRank(drivers, rank);
  }

  /** Orders a change of primary. @returns false if this VM does not drive it */
  bool OrderPromotion() { return driver_.OrderPromotion(); }

  /** Looks at timers and the driver. */
  void Tick() {
    Advance();
    driver_.Tick(GetState());
  }

  /** Notes the report that came with a statement's answer. */
  void RecordReport(const EndpointId& endpoint,
                    const EndpointReport& report,
                    TimePoint asked) {
    watch_.RecordReport(endpoint, report, asked);
  }

  /** Waits until a majority holds a write.

      @param point     its point
      @param ran_in    term in which it ran
      @param deadline  when to give up
      @param done      receives whether it is acknowledged
  */
  void AwaitAcknowledgement(LogPoint point,
                            Term ran_in,
                            TimePoint deadline,
                            AckTracker::Completion done) {
    if constexpr (!P::kMajorityAcks) {
      done(true);
      return;
    }
    acks_.Add(point, ran_in, executor_.Now(), deadline, std::move(done));
    Advance();
  }

  /** Waits until a condition on the group holds. @see ConditionWaitList */
  void AwaitCondition(ConditionWaitList::Condition condition,
                      TimePoint deadline,
                      ConditionWaitList::Completion done) {
    conditions_.Add(std::move(condition), deadline, std::move(done));
  }

  /** @returns how long the oldest unacknowledged write has waited */
  Duration GetAckDelay() const { return acks_.GetOldestAge(executor_.Now()); }

  /** @returns what is known of the group */
  const GroupState& GetState() const { return watch_.GetState(); }

 private:
  static std::vector<EndpointId> ListEndpoints(const GroupShape& shape) {
    std::vector<EndpointId> endpoints;
    for (const EndpointShape& it : shape.endpoints) {
      endpoints.push_back(it.endpoint);
    }
    return endpoints;
  }

  DriverEvents MakeDriverEvents() {
    return {
        [this](Term term, PromotionReason reason) {
          options_.events.on_promotion_started(group_, term, reason);
        },
        [this](const PromotionResult& end, Duration took) {
          options_.events.on_promotion_ended(group_, end, took);
        },
        [this](std::error_code ec) { options_.events.on_grant(group_, ec); }};
  }

  void Observe(const EndpointId& endpoint, bool is_reachable) {
    auto& was_reachable = reachability_[endpoint];
    if (was_reachable != is_reachable) {
      was_reachable = is_reachable;
      options_.events.on_reachability(endpoint, is_reachable);
      if (!is_reachable) {
        listener_.on_unreachable(endpoint);
      }
    }
    NoteLeaving(endpoint);
    const auto primary = GetState().GetPrimary();
    if (primary && primary->term > primary_term_) {
      primary_term_ = primary->term;
      options_.events.on_primary(group_, *primary);
      listener_.on_primary(*primary);
    }
    Advance();
  }

  void NoteLeaving(const EndpointId& endpoint) {
    const MemberState* member = GetState().Find(endpoint);
    const bool is_leaving = member->report && member->report->is_leaving;
    if (!is_leaving) {
      leaving_.erase(endpoint);
    } else if (leaving_.insert(endpoint).second) {
      options_.events.on_leaving(endpoint);
    }
  }

  void Advance() {
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
  std::unordered_map<EndpointId, std::optional<bool>> reachability_;
  std::unordered_set<EndpointId> leaving_;
  Term primary_term_;
  GroupWatcher<E, L> watch_;
  GroupDriver<E, L, S, typename P::Grants> driver_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_GROUPS_GROUP_CONTROLLER_H_
