#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "control/failover/answered_commits.h"
#include "control/failover/command_forwarder.h"
#include "control/failover/departure_audit.h"
#include "control/failover/departure_tracker.h"
#include "control/failover/endpoint_commands.h"
#include "control/failover/failover_limits.h"
#include "control/failover/failover_progress.h"
#include "control/failover/forwarded_command.h"
#include "control/failover/order_guard.h"
#include "control/failover/primary_failure_detector.h"
#include "control/failover/primary_registry.h"
#include "control/failover/primary_replacement.h"
#include "control/failover/replica_resumer.h"
#include "control/failover/vacancy_tracker.h"
#include "control/peers/peer_group.h"
#include "coordination/coordination.h"
#include "membership/membership.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** Interface through which FailoverControl reaches the node that owns it. */
template <class T>
concept FailoverDelegate = ForwardedCommandChannel<T> &&
    AnsweredCommitChannel<T> &&
    requires(T& delegate,
             Duration delay,
             std::function<void()> task,
             std::function<void(std::error_code)> done,
             const ServiceId& service,
             const EndpointId& endpoint) {
  { delegate.Now() } -> std::same_as<TimePoint>;
  delegate.After(delay, task);
  /** Called when a promotion was ordered or a new primary was found. */
  delegate.AnnouncePrimary(service, endpoint);
  /** Called when no endpoint of the service but the successor may be sent
      writes and commits for kCommitHoldPeriod; repeated while that holds. The
      successor is empty while none is chosen. */
  delegate.HoldCommits(service, endpoint);
  /** Called when a hold ends early because the replacement was given up. */
  delegate.ReleaseCommits(service);
  /** Called when the content of FillHeartbeat() has changed. */
  delegate.SendHeartbeats();
  { delegate.IsStoreConnected() } -> std::same_as<bool>;
  /** Returns whether the directory lists an endpoint at present. One that has
      just ceased to be listed may still be in the FleetView. */
  { delegate.IsListed(endpoint) } -> std::same_as<bool>;
  /** Reads the directory from the store, applies it and calls the function. An
      error means that an endpoint which has joined may not be listed. */
  delegate.ReadDirectory(done);
};

/** Decides when a primary is replaced, and runs the replacement.

    One VM holds the failover duty of a service and orders its promotions. The
    other VMs send their observations in heartbeats. Runs on the control thread.

    @tparam S  @see RowStore
    @tparam R  @see DutyRowCodec
    @tparam C  @see EndpointCommandSender
    @tparam P  @see PromotionSender
    @tparam T  @see FailoverDelegate
*/
template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
class FailoverControl {
 public:
  /** @param store       must outlive this object
      @param commands    must outlive this object
      @param promotions  must outlive this object
      @param delegate    must outlive this object
      @param peers       must outlive this object
      @param self        this VM
      @param site        its site
  */
  FailoverControl(S& store,
                  C& commands,
                  P& promotions,
                  T& delegate,
                  const PeerGroup& peers,
                  VmId self,
                  SiteId site)
      : commands_(commands),
        promotions_(promotions),
        delegate_(delegate),
        peers_(peers),
        self_(std::move(self)),
        site_(std::move(site)),
        claims_(store, self_),
        detector_(commands, delegate, [this] { HandleSuspicionsChanged(); }),
        resumer_(commands, delegate),
        forwarder_(commands,
                   delegate,
                   peers,
                   self_,
                   [this](const EndpointId& endpoint) {
                     const auto condition = detector_.Get(endpoint);
                     return condition &&
                            *condition != EndpointCondition::kCommitsStalled;
                   }),
        guard_(commands, forwarder_, delegate),
        answered_commits_(delegate, peers, self_),
        started_at_(delegate.Now()) {
    // Checked here because T is incomplete where it declares its
    // FailoverControl member.
    static_assert(FailoverDelegate<T>);
  }

  /** Applies a new view of the fleet.

      @param view  the routes and the endpoints in use
  */
  void Apply(const FleetView& view) {
    endpoints_ = view.endpoints;
    endpoints_version_ = view.endpoints_version;
    endpoints_changed_at_ = view.endpoints_changed_at;
    services_.clear();
    acknowledging_services_.clear();
    for (const auto& [id, rules] : view.routes->services) {
      services_.push_back(id);
      if (rules.sync_replicas > 0) {
        acknowledging_services_.push_back(id);
      }
    }
    departures_.RetainServices(services_);
    primaries_.Apply(endpoints_, delegate_.Now());
    departures_.Apply(ListAcknowledgingEndpoints(view), delegate_.Now());
    vacancies_.Apply(endpoints_, delegate_.Now());
    RememberPrimaries();
    PruneSuspicions();
    Review();
  }

  /** Handles a report from a traffic thread; ignored unless the endpoint is a
      primary.

      @param report  the endpoint and its observed condition
  */
  void HandleConditionReport(const ConditionReport& report) {
    if (const EndpointEntry* entry = FindEndpoint(report.endpoint);
        entry != nullptr && primaries_.IsPrimary(report.endpoint)) {
      detector_.HandleReport(*entry, report.condition);
    }
  }

  /** Records that an endpoint acted as primary on a connection.

      @param endpoint  the endpoint
      @param term      term in which it is primary
  */
  void HandlePrimaryConfirmed(const EndpointId& endpoint, Term term) {
    if (const EndpointEntry* entry = FindEndpoint(endpoint)) {
      HandlePeerOrderProved(entry->service, endpoint, term);
      primaries_.RecordConfirmed(entry->service, endpoint, term);
      RecordPromotionConfirmed(entry->service, endpoint, term);
      PruneSuspicions();
    }
  }

  /** Applies the suspicions and promotions of a peer.

      @param heartbeat  the peer's latest heartbeat
  */
  void HandleHeartbeat(const Heartbeat& heartbeat) {
    for (const ConditionReport& it : heartbeat.suspicions) {
      const EndpointEntry* entry = FindEndpoint(it.endpoint);
      if (entry != nullptr && primaries_.IsPrimary(it.endpoint) &&
          it.condition != EndpointCondition::kCommitsStalled) {
        // Verifies the peer's suspicion from this VM.
        detector_.Verify(*entry, it.condition);
      }
    }
    ApplyReplacementNotices(heartbeat);
    for (const PromotionNotice& it : heartbeat.promotions) {
      const auto hold = peer_holds_.find(it.service);
      if (hold == peer_holds_.end() || !hold->second.is_direct ||
          hold->second.notice.fencing_token < it.fencing_token) {
        // A hold precedes its order, and names the latest one of its holder.
        RecordPeerOrder(it.service, it.endpoint, it.fencing_token);
      }
      if (primaries_.RecordPromotion(it.service, it.endpoint, it.fencing_token,
                                     delegate_.Now())) {
        delegate_.AnnouncePrimary(it.service, it.endpoint);
      }
    }
    PruneSuspicions();
    if (heartbeat.suspicions.empty() && heartbeat.promotions.empty()) {
      // Only membership or duties can have changed. With many VMs, a review for
      // each heartbeat would cost more than all statements.
      ScheduleReview();
    } else {
      Review();
    }
  }

  /** Applies what a peer knows about departed endpoints.

      @param notices  the peer's notices
  */
  void HandleDepartureNotices(std::span<const DepartureNotice> notices) {
    bool changed = false;
    for (const DepartureNotice& it : notices) {
      changed = (IsKnown(it.service) &&
                 departures_.ApplyNotice(it, delegate_.Now())) ||
                changed;
    }
    if (changed) {
      Review();
    }
  }

  /** Sends a command to an endpoint on behalf of a peer.

      @param request  the peer's request
  */
  void HandleForwardedCommand(const ForwardedCommand& request) {
    const EndpointEntry* entry = FindEndpoint(request.endpoint);
    forwarder_.HandleForwardedCommand(
        request, entry != nullptr ? entry : FindFormerEntry(request.endpoint));
  }

  /** Handles a peer's response to a command that this VM has forwarded.

      @param response  the response
  */
  void HandleForwardedCommandResponse(
      const ForwardedCommandResponse& response) {
    forwarder_.HandleResponse(response);
  }

  /** Answers a peer that looks for the newest answered commit of a service. */
  void HandleAnsweredCommitQuery(const AnsweredCommitQuery& query) {
    answered_commits_.HandleQuery(query);
  }

  /** Handles a peer's response to a query of this VM. */
  void HandleAnsweredCommitResponse(const AnsweredCommitResponse& response) {
    answered_commits_.HandleResponse(response);
  }

  /** @returns what the other VMs have to know about departed endpoints */
  std::vector<DepartureNotice> ListDepartureNotices() const {
    return departures_.ListNotices(delegate_.Now());
  }

  /** Writes this VM's part of the failover state to a heartbeat.

      @param heartbeat  receives suspicions, duties, promotions and
                        replacements
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
    for (const auto& [service, progress] : progress_) {
      if (progress.hold) {
        heartbeat.replacements.push_back(*progress.hold);
      } else if (const PeerHold* hold = FindOpenPeerHold(service, now)) {
        heartbeat.replacements.push_back(hold->notice);
      }
    }
  }

  /** Evaluates every service and starts replacements, claims and
      confirmations. Called periodically and after each change. */
  void Review() {
    const TimePoint now = delegate_.Now();
    RefreshPeerState();
    bool unsettled = !detector_.List().empty();
    for (const ServiceId& service : services_) {
      const std::optional<ReplacementReason> reason = FindReason(service, now);
      const std::vector<EndpointId> departed = ListBlockingDepartures(service);
      unsettled = ReviewHold(service, now) || unsettled || reason.has_value() ||
                  !departed.empty();
      ReviewGuard(service, now);
      ResumePaused(service, now);
      ResumeInherited(service, now);
      if (!departed.empty() && IsCoordinator(service)) {
        AuditDepartures(service, departed, now);
      }
      SaveGroup(service, now);
      if (reason && IsCoordinator(service)) {
        Replace(service, *reason, now);
      } else if (!reason) {
        ClaimUnheldDuty(service, now);
        ConfirmPrimary(service, now);
      }
    }
    if (unsettled) {
      ScheduleReview();
    }
  }

  /** Writes again what has to outlast the loss of all VMs, because the store
     was restored from a copy that may lack it. */
  void HandleStoreRestored() {
    claims_.HandleStoreRestored();
    Review();
  }

  /** Stops starting replacements and claiming unheld duties, because the
      process is shutting down. */
  void StopCoordinating() { leaving_ = true; }
  /** @returns the primaries that this VM knows, ordered by service */
  std::vector<std::pair<ServiceId, EndpointId>> ListPrimaries() const {
    return primaries_.List();
  }
  /** @returns the duties that this VM holds, with their fencing tokens */
  std::vector<std::pair<ServiceId, uint64_t>> ListDuties() const {
    return claims_.List();
  }

 private:
  using Forwarder = CommandForwarder<C, T>;
  using Replacement = PrimaryReplacement<C, Forwarder, P, T>;
  using Progress = FailoverProgress;

  const EndpointEntry* FindEndpoint(const EndpointId& id) const {
    for (const EndpointEntry& it : endpoints_) {
      if (it.id == id) {
        return &it;
      }
    }
    return nullptr;
  }

  /** Keeps the entries of the primaries, which may run on after the directory
      has ceased to list them. */
  void RememberPrimaries() {
    std::erase_if(primary_entries_,
                  [this](const auto& row) { return !IsKnown(row.first); });
    std::erase_if(confirmed_entries_,
                  [this](const auto& row) { return !IsKnown(row.first); });
    for (const EndpointEntry& it : endpoints_) {
      if (primaries_.IsPrimary(it.id)) {
        primary_entries_[it.service] = it;
      }
      if (primaries_.IsLatestConfirmed(it.id)) {
        confirmed_entries_[it.service] = it;
      }
    }
  }

  /** @returns the last entry of a primary; null if it was none */
  const EndpointEntry* FindFormerEntry(const EndpointId& id) const {
    for (const auto* entries : {&primary_entries_, &confirmed_entries_}) {
      for (const auto& [service, entry] : *entries) {
        if (entry.id == id) {
          return &entry;
        }
      }
    }
    return nullptr;
  }

  void ScheduleReview() {
    if (!std::exchange(review_scheduled_, true)) {
      delegate_.After(kFailoverReviewInterval, [this] {
        review_scheduled_ = false;
        Review();
      });
    }
  }

  /** Reads from the live peers' heartbeats what a review needs, once for all
      services. */
  void RefreshPeerState();

  void PruneSuspicions() {
    detector_.RetainIf([this](const EndpointId& id) {
      return FindEndpoint(id) != nullptr && primaries_.IsPrimary(id);
    });
  }

  bool IsKnown(const ServiceId& service) const {
    return std::find(services_.begin(), services_.end(), service) !=
           services_.end();
  }

  /** @returns whether orders and holds of a service are followed. Before the
               first configuration, any service may be one of this VM's. */
  bool MayBeKnown(const ServiceId& service) const {
    return services_.empty() ? progress_.contains(service) ||
                                   progress_.size() < kMaxUnconfiguredHolds
                             : IsKnown(service);
  }

  /** @returns the endpoints of services whose replicas acknowledge commits */
  static std::vector<EndpointEntry> ListAcknowledgingEndpoints(
      const FleetView& view) {
    std::vector<EndpointEntry> list;
    for (const EndpointEntry& it : view.endpoints) {
      const auto rules = view.routes->services.find(it.service);
      if (rules != view.routes->services.end() &&
          rules->second.sync_replicas > 0) {
        list.push_back(it);
      }
    }
    return list;
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

  /** @returns the VMs that suspect the endpoint, each with its condition, for
              log lines */
  std::string ListSuspectingVms(const EndpointId& endpoint) const;
  /** @returns whether a VM reports that the endpoint answers, but not commits
   */
  bool IsReportedStalled(const EndpointId& endpoint) const;

  uint32_t CountVantagePoints(const EndpointId& endpoint,
                              EndpointCondition& condition) const;

  std::optional<ReplacementReason> FindReason(const ServiceId& service,
                                              TimePoint now);

  /** @returns departed endpoints that must be accounted for before a promotion,
               unless only one of them is missing. The latest confirmed primary
               is not one: replicas acknowledged its commits. */
  std::vector<EndpointId> ListBlockingDepartures(
      const ServiceId& service) const;

  /** @see ReplacementPlan::is_one_member_missing */
  bool IsOneMemberMissing(const ServiceId& service, TimePoint now);

  /** @returns whether an order that this VM has sent, heard of or taken over
               may still take effect */
  static bool MayOrderTakeEffect(const Progress& progress, TimePoint now);

  void AuditDepartures(const ServiceId& service,
                       std::span<const EndpointId> departed,
                       TimePoint now);

  /** @returns whether a replica may join the service in the place of one that
               has left or is leaving */
  bool MayGainReplica(const ServiceId& service,
                      const EndpointId& primary) const;

  /** @returns the entries' ids, separated by commas, for log lines */
  static std::string JoinEntryIds(std::span<const EndpointEntry> entries) {
    std::vector<EndpointId> ids;
    ids.reserve(entries.size());
    for (const EndpointEntry& it : entries) {
      ids.push_back(it.id);
    }
    return ids.empty() ? "none" : JoinIds(ids);
  }

  /** @returns the ids, separated by commas, for log lines */
  static std::string JoinIds(std::span<const EndpointId> ids) {
    std::string text;
    for (const EndpointId& it : ids) {
      text += (text.empty() ? "" : ",") + it.value;
    }
    return text;
  }

  void HandleAuditResult(const ServiceId& service,
                         std::span<const EndpointId> departed,
                         const DepartureAuditResult& result);

  /** @param previous  record of the previous holder of the duty; empty for none
      @returns         what this VM and that holder know of the service */
  GroupRecord MakeGroupRecord(const ServiceId& service,
                              const GroupRecord& previous) const;

  /** Writes the service's record to the store if it has changed and this VM
      holds the duty. */
  void SaveGroup(const ServiceId& service, TimePoint now);

  /** Applies the record of the previous holder of a duty. */
  void ApplyGroupRecord(const ServiceId& service, const GroupRecord& record);

  /** @returns the highest fencing token of a live peer's claim, or 0 if no live
      peer holds the duty */
  uint64_t FindPeerToken(const ServiceId& service) const;

  bool IsRankedFirst(const ServiceId& service) const;

  bool IsCoordinator(const ServiceId& service) const;

  void ClaimUnheldDuty(const ServiceId& service, TimePoint now);

  void Claim(const ServiceId& service,
             TimePoint now,
             std::function<void()> then);

  /** Takes over from the previous holder of a duty that this VM has claimed.

      @param previous  that holder's record of the service
  */
  void BeginDuty(const ServiceId& service, const GroupRecord& previous);

  /** Orders the promotion of the current primary under the newest token. This
      changes no role, but the platform then refuses every older order. */
  void ConfirmPrimary(const ServiceId& service, TimePoint now);

  /** @param service   the service
      @param endpoint  its primary
      @param now       the current time
      @returns         whether an order for another endpoint that this VM knows
                       of may still take effect */
  bool MayOtherOrderTakeEffect(const ServiceId& service,
                               const EndpointId& endpoint,
                               TimePoint now);

  void FinishConfirmation(const ServiceId& service, std::error_code ec);

  /** Finds out whether this VM still holds a duty. One that hears most of the
      VMs knows; otherwise the duty's row is read, as another VM may have
     claimed it.

      @param service  the service
      @param done     receives success, Error::kSuperseded, or another error if
                      it is not known
  */
  void CheckDuty(const ServiceId& service,
                 std::function<void(std::error_code)> done);

  /** Sends the order of a confirmation.

      @param service        the service
      @param fencing_token  token of this VM's claim
      @param endpoint       the primary
      @param term           the term that it leads
  */
  void OrderPresentPrimary(const ServiceId& service,
                           uint64_t fencing_token,
                           const EndpointId& endpoint,
                           Term term);

  /** Records until when a confirmation may take effect.

      @param progress  the service's progress
      @param ec        result of the confirmation
  */
  void SettleFencingOrder(Progress& progress, std::error_code ec);

  /** Holds commits for the endpoint of a confirmation that is still to take
      effect, if another endpoint has proved a newer term meanwhile.

      @param service   the service
      @param endpoint  the endpoint that leads
      @param term      its term
      @returns         whether the confirmed endpoint is still to lead again */
  bool HoldForFencingOrder(const ServiceId& service,
                           const EndpointId& endpoint,
                           Term term);

  /** Lets no VM send commits to an endpoint but the successor, from the
      demotion of the primary or the order until the successor leads.

      @param service        the service
      @param successor      the endpoint that becomes the primary; empty while
                            none is chosen
      @param fencing_token  token of this VM's claim
  */
  void BeginHold(const ServiceId& service,
                 const EndpointId& successor,
                 uint64_t fencing_token);

  void EndHold(const ServiceId& service);

  /** Repeats the hold of this VM, or ends it if no order is open.

      @returns whether it goes on */
  bool ReviewHold(const ServiceId& service, TimePoint now);

  /** Applies the holds that another VM announces or relays, and ends those that
      it does not announce any more. */
  void ApplyReplacementNotices(const Heartbeat& heartbeat);

  /** @returns whether the heartbeat comes from the holder of a duty that has
               ordered under the token, or under a newer one since */
  static bool HoldsDuty(const Heartbeat& heartbeat,
                        const ServiceId& service,
                        uint64_t fencing_token);

  /** @param notice     notice of another VM
      @param is_direct  the VM announces its own hold
      @returns          whether the notice is in force */
  bool IsInForce(const ReplacementNotice& notice, bool is_direct);

  /** @returns whether the VM's hold ends because its heartbeat does not
     announce it any more */
  bool IsEndedBy(const Heartbeat& heartbeat, PeerHold& hold);

  /** Returns the hold that the holder of a duty has announced to this VM, if
      its order may still take effect. Such a hold goes on if the holder is
      lost, and is relayed to the VMs that have not heard of it.

      @returns the hold; null if there is none */
  const PeerHold* FindOpenPeerHold(const ServiceId& service, TimePoint now);

  /** @returns whether an order of this VM may still take effect */
  static bool IsOrderOpen(const Progress& progress, TimePoint now) {
    const std::optional<PromotionOrder>& order = progress.unconfirmed_order;
    return order && (!order->open_until || now < *order->open_until);
  }

  /** Records an order of this VM before it is sent, holds commits and guards
      what the order relies on.

      @param plan   plan of the attempt
      @param order  the order
  */
  void RecordOrder(const ReplacementPlan& plan, const PlannedOrder& order);

  /** Records whether the order of an attempt that has ended may still take
      effect. */
  void SettleOrder(const ServiceId& service, const ReplacementResult& result);

  /** Keeps the pauses of an attempt that has ended while an order may still
      take effect; otherwise they end after a while. */
  void KeepOrEndPauses(const ServiceId& service,
                       const ReplacementResult& result);

  /** Records that the platform has accepted a call of this VM, and refuses
      those under older tokens from now on. */
  void HandleOrdersFenced(const ServiceId& service);

  /** Guards what an order relies on until a newer term is proved.

      @param plan   plan of the attempt
      @param order  the order
  */
  void GuardOrder(const ReplacementPlan& plan, const PlannedOrder& order);

  /** Ends the guard of a VM that has lost the duty once its order has taken
      effect or was refused; the next holder decides from then on. */
  void ReviewGuard(const ServiceId& service, TimePoint now);

  /** Records and logs that the order of this VM has taken effect, if the
     primary's proof is the first one since. */
  void RecordPromotionConfirmed(const ServiceId& service,
                                const EndpointId& endpoint,
                                Term term);

  void ResumePaused(const ServiceId& service, TimePoint now);

  /** Resumes what the former holder of a duty has left paused, once its order
      has taken effect or cannot any more. */
  void ResumeInherited(const ServiceId& service, TimePoint now);

  /** Records an order that another VM has announced. */
  void RecordPeerOrder(const ServiceId& service,
                       const EndpointId& endpoint,
                       uint64_t fencing_token);

  /** Forgets the order of another VM if its endpoint has proved a newer
      term. */
  void HandlePeerOrderProved(const ServiceId& service,
                             const EndpointId& endpoint,
                             Term term);

  /** Forgets the order of another VM that has ended its hold: it has taken
      effect, or cannot any more. */
  void ForgetPeerOrder(const ReplacementNotice& ended);

  /** Takes over the order of the former holder of a duty, which may still take
      effect: commits are held and the order is guarded as one of this VM.

      @param service   the service
      @param previous  the former holder's record of it
  */
  void InheritOrder(const ServiceId& service, const GroupRecord& previous);

  /** Guards the order that InheritOrder() has recorded.

      @param service  the service
      @param former   the primary that was confirmed last
  */
  void GuardInheritedOrder(
      const ServiceId& service,
      const std::optional<PrimaryRegistry::ConfirmedPrimary>& former);

  void Replace(const ServiceId& service,
               ReplacementReason reason,
               TimePoint now);

  void HandleReplacementResult(const ServiceId& service,
                               TimePoint began_at,
                               const ReplacementResult& result);

  /** Logs, once for each commit, that no replica is promoted for the lack of
      it. */
  void LogMissingCommit(const ServiceId& service, const MissingCommit& missing);

  C& commands_;
  P& promotions_;
  T& delegate_;
  const PeerGroup& peers_;
  const VmId self_;
  const SiteId site_;
  DutyClaims<S, R> claims_;
  PrimaryRegistry primaries_;
  PrimaryFailureDetector<C, T> detector_;
  ReplicaResumer<C, T> resumer_;
  Forwarder forwarder_;
  OrderGuard<C, Forwarder, T> guard_;
  AnsweredCommitSurvey<T> answered_commits_;
  DepartureTracker departures_;
  VacancyTracker vacancies_;
  std::vector<EndpointEntry> endpoints_;
  /** @see FleetView::endpoints_version */
  uint64_t endpoints_version_ = 0;
  /** @see FleetView::endpoints_changed_at */
  TimePoint endpoints_changed_at_;
  std::vector<ServiceId> services_;
  /** Those whose commits a replica has to acknowledge. */
  std::vector<ServiceId> acknowledging_services_;
  /** Last entry of each service's latest primary that was listed. */
  std::map<ServiceId, EndpointEntry> primary_entries_;
  /** The same of those that were confirmed. */
  std::map<ServiceId, EndpointEntry> confirmed_entries_;
  std::map<ServiceId, Progress> progress_;
  /** Holds that other VMs announce, and those that their holders have ended. */
  std::map<ServiceId, PeerHold> peer_holds_;
  std::map<EndpointId, uint32_t> last_levels_;
  std::vector<std::pair<PromotionNotice, TimePoint>> promotion_notices_;
  const TimePoint started_at_;
  /** Highest fencing token of the live peers for each duty that one holds. */
  std::map<ServiceId, uint64_t> peer_tokens_;
  /** Suspicions of the live peers. The number tells the peers apart. */
  std::vector<std::pair<size_t, ConditionReport>> peer_suspicions_;
  /** The live VMs, this one included; listed when first needed. */
  mutable std::vector<VmEntry> live_vms_;
  bool review_scheduled_ = false;
  bool leaving_ = false;
};

}  // namespace magnoliareel

// Definitions of the methods, grouped by topic.
#include "control/failover/failover_control_departures.h"  // IWYU pragma: export
#include "control/failover/failover_control_duties.h"   // IWYU pragma: export
#include "control/failover/failover_control_groups.h"   // IWYU pragma: export
#include "control/failover/failover_control_holds.h"    // IWYU pragma: export
#include "control/failover/failover_control_orders.h"   // IWYU pragma: export
#include "control/failover/failover_control_reasons.h"  // IWYU pragma: export
#include "control/failover/failover_control_replacement.h"  // IWYU pragma: export
#include "control/failover/failover_control_succession.h"  // IWYU pragma: export

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_H_
