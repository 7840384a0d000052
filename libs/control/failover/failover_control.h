#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "control/failover/endpoint_commands.h"
#include "control/failover/primary_failure_detector.h"
#include "control/failover/primary_registry.h"
#include "control/failover/primary_replacement.h"
#include "control/failover/replica_resumer.h"
#include "control/peers/peer_group.h"
#include "coordination/coordination.h"
#include "membership/membership.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** What the failover is told of, and tells, its node. */
template <class T>
concept FailoverDelegate = requires(T& outlet,
                                    Duration pause,
                                    std::function<void()> task,
                                    const ServiceId& service,
                                    const EndpointId& endpoint) {
  { outlet.Now() } -> std::same_as<TimePoint>;
  outlet.After(pause, task);
  /** An endpoint was ordered to lead. */
  outlet.AnnouncePrimary(service, endpoint);
  /** What Fill() writes has changed. */
  outlet.SendHeartbeats();
  { outlet.IsStoreConnected() } -> std::same_as<bool>;
};

/** How often the state is looked at while anything is unsettled. */
inline constexpr Duration kFailoverReviewInterval =
    std::chrono::milliseconds(100);
/** Pause between two attempts for one service. */
inline constexpr Duration kReplacementRetryInterval =
    std::chrono::milliseconds(300);
/** Paused replicas have this time to receive what they missed before the next
    attempt pauses them again. */
inline constexpr Duration kReplicaCatchUpDelay = std::chrono::milliseconds(800);
/** A promotion takes effect within this time, or is tried again: the slowest
    that the deployments state, 1 s, and as much again. */
inline constexpr Duration kPromotionTimeout = std::chrono::milliseconds(2000);
/** An order to lead is told to other VMs for this long. */
inline constexpr Duration kPromotionNoticeRetention = std::chrono::seconds(4);
/** No duty is claimed before: a VM that has just started has not heard yet who
    holds it. More than a heartbeat's period. */
inline constexpr Duration kFirstClaimDelay = std::chrono::milliseconds(1300);
/** Duties without a holder are claimed this long after the start: by then all
    VMs that start together have heard each other. */
inline constexpr Duration kUnheldDutyClaimDelay = std::chrono::seconds(3);
/** Pause between two claims of one duty. */
inline constexpr Duration kClaimRetryInterval = std::chrono::milliseconds(700);

/** Replaces primaries: decides when, with the other VMs, and has it done.

    One VM holds the duty of a service; the others tell it what they see. Runs
    on the control thread.

    @tparam S  @see RowStore
    @tparam O  @see EndpointCommandSender
    @tparam P  @see PromotionSender
    @tparam T  @see FailoverDelegate
*/
template <RowStore S, EndpointCommandSender O, PromotionSender P, class T>
class FailoverControl {
 public:
  /** @param store       outlives the control
      @param orders      outlives the control
      @param promotions  outlives the control
      @param outlet      outlives the control
      @param peers       outlives the control
      @param self        this VM
      @param site        its site
  */
  FailoverControl(S& store,
                  O& orders,
                  P& promotions,
                  T& outlet,
                  const PeerGroup& peers,
                  VmId self,
                  SiteId site)
      : orders_(orders),
        promotions_(promotions),
        outlet_(outlet),
        peers_(peers),
        self_(std::move(self)),
        site_(std::move(site)),
        claims_(store, self_.value),
        suspicions_(orders, outlet, [this] { HandleSuspicionsChanged(); }),
        paused_(orders, outlet),
        started_at_(outlet.Now()) {
    // Checked here as T is not complete where it declares its failover.
    static_assert(FailoverDelegate<T>);
  }

  /** Takes up the endpoints in use. */
  void Apply(const FleetView& view) {
    endpoints_ = view.endpoints;
    services_.clear();
    for (const auto& [id, rules] : view.routes->services) {
      services_.push_back(id);
    }
    leaders_.Apply(endpoints_, outlet_.Now());
    PruneSuspicions();
    Review();
  }

  /** Takes up what traffic notices of an endpoint. */
  void NoteReport(const ConditionReport& report) {
    if (const EndpointEntry* entry = Find(report.endpoint);
        entry != nullptr && leaders_.IsLeader(report.endpoint)) {
      suspicions_.Note(*entry, report.condition);
    }
  }

  /** An endpoint has proven that it leads. */
  void HandlePrimaryConfirmed(const EndpointId& endpoint, Term term) {
    if (const EndpointEntry* entry = Find(endpoint)) {
      leaders_.NoteProven(entry->service, endpoint, term);
      PruneSuspicions();
    }
  }

  /** Takes up what a peer has just told. */
  void HandleHeartbeat(const Heartbeat& heartbeat) {
    for (const ConditionReport& it : heartbeat.suspicions) {
      const EndpointEntry* entry = Find(it.endpoint);
      if (entry != nullptr && leaders_.IsLeader(it.endpoint) &&
          it.condition != EndpointCondition::kCommitsStalled) {
        // Another vantage point: look for oneself.
        suspicions_.Verify(*entry, it.condition);
      }
    }
    for (const PromotionNotice& it : heartbeat.ordered) {
      if (leaders_.RecordPromotion(it.service, it.endpoint, it.fencing_token,
                                   outlet_.Now())) {
        outlet_.AnnouncePrimary(it.service, it.endpoint);
      }
    }
    PruneSuspicions();
    Review();
  }

  /** Writes what other VMs should know.

      @param heartbeat  receives suspicions, duties and ordered leaders
  */
  void FillHeartbeat(Heartbeat& heartbeat) {
    heartbeat.suspicions = suspicions_.List();
    for (const auto& [service, token] : claims_.List()) {
      heartbeat.duties.push_back({service, token});
    }
    const TimePoint now = outlet_.Now();
    std::erase_if(ordered_, [&](const auto& it) {
      return now - it.second >= kPromotionNoticeRetention;
    });
    for (const auto& [leader, at] : ordered_) {
      heartbeat.ordered.push_back(leader);
    }
  }

  /** Looks at every service; called periodically, and when something changed.
   */
  void Review() {
    const TimePoint now = outlet_.Now();
    bool unsettled = !suspicions_.List().empty();
    for (const ServiceId& service : services_) {
      const std::optional<ReplacementReason> reason = FindReason(service, now);
      unsettled = unsettled || reason.has_value();
      ResumePaused(service, now);
      if (reason && IsCoordinator(service)) {
        Replace(service, *reason, now);
      } else if (!reason) {
        ClaimUnheldDuty(service, now);
        Confirm(service, now);
      }
    }
    if (unsettled && !std::exchange(ticking_, true)) {
      outlet_.After(kFailoverReviewInterval, [this] {
        ticking_ = false;
        Review();
      });
    }
  }

  /** Gives up every duty, as the process stops. */
  void Leave() { leaving_ = true; }
  /** @returns the primaries that this VM knows, by service */
  std::vector<std::pair<ServiceId, EndpointId>> ListPrimaries() const {
    return leaders_.List();
  }
  /** @returns the duties that this VM holds, with their fencing tokens */
  const std::map<ServiceId, uint64_t>& GetDuties() const {
    return claims_.List();
  }

 private:
  using Replacement = PrimaryReplacement<O, P, T>;
  struct Progress {
    bool running = false;
    bool claiming = false;
    bool confirming = false;
    /** An order without an answer may still be carried out, of this VM or of
        the holder before. */
    bool unsettled = false;
    /** The endpoint that such an order of this VM names. */
    EndpointId ordered;
    /** Replicas to resume once the endpoint that was promoted leads. */
    std::vector<EndpointEntry> paused;
    TimePoint not_before;
    TimePoint claimed_at;
  };

  const EndpointEntry* Find(const EndpointId& id) const {
    for (const EndpointEntry& it : endpoints_) {
      if (it.id == id) {
        return &it;
      }
    }
    return nullptr;
  }

  void PruneSuspicions() {
    suspicions_.Keep([this](const EndpointId& id) {
      return Find(id) != nullptr && leaders_.IsLeader(id);
    });
  }

  std::vector<EndpointEntry> ListEndpoints(const ServiceId& service) const {
    std::vector<EndpointEntry> list;
    for (const EndpointEntry& it : endpoints_) {
      if (it.service == service) {
        list.push_back(it);
      }
    }
    return list;
  }

  void HandleSuspicionsChanged() {
    outlet_.SendHeartbeats();
    Review();
  }

  uint32_t CountVantagePoints(const EndpointId& endpoint,
                              EndpointCondition& condition) const;

  std::optional<ReplacementReason> FindReason(const ServiceId& service,
                                              TimePoint now);

  /** @returns the live peer that holds a duty with the newest token, or 0 */
  uint64_t FindPeerToken(const ServiceId& service) const;

  bool IsRankedFirst(const ServiceId& service) const;

  bool IsCoordinator(const ServiceId& service) const;

  void ClaimUnheldDuty(const ServiceId& service, TimePoint now);

  void Claim(const ServiceId& service,
             TimePoint now,
             std::function<void()> then);

  /** Orders the endpoint that leads to lead, under the newest token: that
      changes nothing, but the platform then refuses every older order. */
  void Confirm(const ServiceId& service, TimePoint now);

  void EndConfirm(const ServiceId& service, std::error_code ec);

  void ResumePaused(const ServiceId& service, TimePoint now);
  void Replace(const ServiceId& service,
               ReplacementReason reason,
               TimePoint now);

  void HandleEnd(const ServiceId& service,
                 TimePoint began_at,
                 const ReplacementResult& result);

  O& orders_;
  P& promotions_;
  T& outlet_;
  const PeerGroup& peers_;
  const VmId self_;
  const SiteId site_;
  DutyClaims<S> claims_;
  PrimaryRegistry leaders_;
  PrimaryFailureDetector<O, T> suspicions_;
  ReplicaResumer<O, T> paused_;
  std::vector<EndpointEntry> endpoints_;
  std::vector<ServiceId> services_;
  std::map<ServiceId, Progress> progress_;
  std::map<EndpointId, uint32_t> last_levels_;
  std::vector<std::pair<PromotionNotice, TimePoint>> ordered_;
  const TimePoint started_at_;
  bool ticking_ = false;
  bool leaving_ = false;
};

}  // namespace magnoliareel

// The methods, by topic.
#include "control/failover/failover_control_duties.h"  // IWYU pragma: export
#include "control/failover/failover_control_replacement.h"  // IWYU pragma: export

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_H_
