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
concept FailoverDelegate = requires(T& delegate,
                                    Duration pause,
                                    std::function<void()> task,
                                    const ServiceId& service,
                                    const EndpointId& endpoint) {
  { delegate.Now() } -> std::same_as<TimePoint>;
  delegate.After(pause, task);
  /** An endpoint was ordered to lead. */
  delegate.AnnouncePrimary(service, endpoint);
  /** What Fill() writes has changed. */
  delegate.SendHeartbeats();
  { delegate.IsStoreConnected() } -> std::same_as<bool>;
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
      @param delegate      outlives the control
      @param peers       outlives the control
      @param self        this VM
      @param site        its site
  */
  FailoverControl(S& store,
                  O& orders,
                  P& promotions,
                  T& delegate,
                  const PeerGroup& peers,
                  VmId self,
                  SiteId site)
      : commands_(orders),
        promotions_(promotions),
        delegate_(delegate),
        peers_(peers),
        self_(std::move(self)),
        site_(std::move(site)),
        claims_(store, self_.value),
        detector_(orders, delegate, [this] { HandleSuspicionsChanged(); }),
        resumer_(orders, delegate),
        started_at_(delegate.Now()) {
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
    primaries_.Apply(endpoints_, delegate_.Now());
    PruneSuspicions();
    Review();
  }

  /** Takes up what traffic notices of an endpoint. */
  void HandleConditionReport(const ConditionReport& report) {
    if (const EndpointEntry* entry = FindEndpoint(report.endpoint);
        entry != nullptr && primaries_.IsPrimary(report.endpoint)) {
      detector_.HandleReport(*entry, report.condition);
    }
  }

  /** An endpoint has proven that it leads. */
  void HandlePrimaryConfirmed(const EndpointId& endpoint, Term term) {
    if (const EndpointEntry* entry = FindEndpoint(endpoint)) {
      primaries_.RecordConfirmed(entry->service, endpoint, term);
      PruneSuspicions();
    }
  }

  /** Takes up what a peer has just told. */
  void HandleHeartbeat(const Heartbeat& heartbeat) {
    for (const ConditionReport& it : heartbeat.suspicions) {
      const EndpointEntry* entry = FindEndpoint(it.endpoint);
      if (entry != nullptr && primaries_.IsPrimary(it.endpoint) &&
          it.condition != EndpointCondition::kCommitsStalled) {
        // Another vantage point: look for oneself.
        detector_.Verify(*entry, it.condition);
      }
    }
    for (const PromotionNotice& it : heartbeat.promotions) {
      if (primaries_.RecordPromotion(it.service, it.endpoint, it.fencing_token,
                                     delegate_.Now())) {
        delegate_.AnnouncePrimary(it.service, it.endpoint);
      }
    }
    PruneSuspicions();
    Review();
  }

  /** Writes what other VMs should know.

      @param heartbeat  receives suspicions, duties and ordered leaders
  */
  void FillHeartbeat(Heartbeat& heartbeat) {
    heartbeat.suspicions = detector_.List();
    for (const auto& [service, token] : claims_.List()) {
      heartbeat.duties.push_back({service, token});
    }
    const TimePoint now = delegate_.Now();
    std::erase_if(promotion_notices_, [&](const auto& it) {
      return now - it.second >= kPromotionNoticeRetention;
    });
    for (const auto& [notice, at] : promotion_notices_) {
      heartbeat.promotions.push_back(notice);
    }
  }

  /** Looks at every service; called periodically, and when something changed.
   */
  void Review() {
    const TimePoint now = delegate_.Now();
    bool unsettled = !detector_.List().empty();
    for (const ServiceId& service : services_) {
      const std::optional<ReplacementReason> reason = FindReason(service, now);
      unsettled = unsettled || reason.has_value();
      ResumePaused(service, now);
      if (reason && IsCoordinator(service)) {
        Replace(service, *reason, now);
      } else if (!reason) {
        ClaimUnheldDuty(service, now);
        ConfirmPrimary(service, now);
      }
    }
    if (unsettled && !std::exchange(ticking_, true)) {
      delegate_.After(kFailoverReviewInterval, [this] {
        ticking_ = false;
        Review();
      });
    }
  }

  /** Gives up every duty, as the process stops. */
  void StopCoordinating() { leaving_ = true; }
  /** @returns the primaries that this VM knows, by service */
  std::vector<std::pair<ServiceId, EndpointId>> ListPrimaries() const {
    return primaries_.List();
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
    EndpointId pending_promotion;
    /** Replicas to resume once the endpoint that was promoted leads. */
    std::vector<EndpointEntry> paused_replicas;
    TimePoint not_before;
    TimePoint claimed_at;
  };

  const EndpointEntry* FindEndpoint(const EndpointId& id) const {
    for (const EndpointEntry& it : endpoints_) {
      if (it.id == id) {
        return &it;
      }
    }
    return nullptr;
  }

  void PruneSuspicions() {
    detector_.RetainIf([this](const EndpointId& id) {
      return FindEndpoint(id) != nullptr && primaries_.IsPrimary(id);
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
    delegate_.SendHeartbeats();
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
  void ConfirmPrimary(const ServiceId& service, TimePoint now);

  void FinishConfirmation(const ServiceId& service, std::error_code ec);

  void ResumePaused(const ServiceId& service, TimePoint now);
  void Replace(const ServiceId& service,
               ReplacementReason reason,
               TimePoint now);

  void HandleReplacementResult(const ServiceId& service,
                               TimePoint began_at,
                               const ReplacementResult& result);

  O& commands_;
  P& promotions_;
  T& delegate_;
  const PeerGroup& peers_;
  const VmId self_;
  const SiteId site_;
  DutyClaims<S> claims_;
  PrimaryRegistry primaries_;
  PrimaryFailureDetector<O, T> detector_;
  ReplicaResumer<O, T> resumer_;
  std::vector<EndpointEntry> endpoints_;
  std::vector<ServiceId> services_;
  std::map<ServiceId, Progress> progress_;
  std::map<EndpointId, uint32_t> last_levels_;
  std::vector<std::pair<PromotionNotice, TimePoint>> promotion_notices_;
  const TimePoint started_at_;
  bool ticking_ = false;
  bool leaving_ = false;
};

}  // namespace magnoliareel

// The methods, by topic.
#include "control/failover/failover_control_duties.h"  // IWYU pragma: export
#include "control/failover/failover_control_replacement.h"  // IWYU pragma: export

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_H_
