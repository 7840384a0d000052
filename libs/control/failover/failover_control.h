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

#include "control/failover/endpoint_orders.h"
#include "control/failover/leader_register.h"
#include "control/failover/paused_replicas.h"
#include "control/failover/primary_replacement.h"
#include "control/failover/suspicions.h"
#include "control/peers/peer_group.h"
#include "coordination/coordination.h"
#include "membership/membership.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** What the failover is told of, and tells, its node. */
template <class T>
concept FailoverOutlet = requires(T& outlet,
                                  Duration pause,
                                  std::function<void()> task,
                                  const ServiceId& service,
                                  const EndpointId& endpoint) {
  { outlet.Now() } -> std::same_as<TimePoint>;
  outlet.After(pause, task);
  /** An endpoint was ordered to lead. */
  outlet.AnnounceLeader(service, endpoint);
  /** What Fill() writes has changed. */
  outlet.SendHeartbeats();
  { outlet.IsStoreConnected() } -> std::same_as<bool>;
};

/** How often the state is looked at while anything is unsettled. */
inline constexpr Duration kFailoverTick = std::chrono::milliseconds(100);
/** Pause between two attempts for one service. */
inline constexpr Duration kReplacementRetry = std::chrono::milliseconds(300);
/** A promotion takes effect within this time, or is tried again: the slowest
    that the deployments state, 1 s, and as much again. */
inline constexpr Duration kPromotionLimit = std::chrono::milliseconds(2000);
/** An order to lead is told to other VMs for this long. */
inline constexpr Duration kOrderedKept = std::chrono::seconds(4);
/** Duties without a holder are claimed this long after the start: by then all
    VMs that start together have heard each other. */
inline constexpr Duration kClaimAfter = std::chrono::seconds(3);
/** Pause between two claims of one duty. */
inline constexpr Duration kClaimRetry = std::chrono::milliseconds(700);

/** Replaces primaries: decides when, with the other VMs, and has it done.

    One VM holds the duty of a service; the others tell it what they see. Runs
    on the control thread.

    @tparam S  @see RowStore
    @tparam O  @see EndpointOrders
    @tparam P  @see PromotionOrders
    @tparam T  @see FailoverOutlet
*/
template <RowStore S, EndpointOrders O, PromotionOrders P, class T>
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
    static_assert(FailoverOutlet<T>);
  }

  /** Takes up the endpoints in use. */
  void Apply(const FleetView& view) {
    endpoints_ = view.endpoints;
    sync_.clear();
    for (const auto& [id, rules] : view.routes->services) {
      sync_[id] = rules.sync_replicas;
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
  void NoteLeader(const EndpointId& endpoint, Term term) {
    if (const EndpointEntry* entry = Find(endpoint)) {
      leaders_.NoteProven(entry->service, endpoint, term);
      PruneSuspicions();
    }
  }

  /** Takes up what a peer has just told. */
  void NotePeer(const Heartbeat& heartbeat) {
    for (const ConditionReport& it : heartbeat.suspicions) {
      const EndpointEntry* entry = Find(it.endpoint);
      if (entry != nullptr && leaders_.IsLeader(it.endpoint) &&
          it.condition != EndpointCondition::kCommitsStalled) {
        // Another vantage point: look for oneself.
        suspicions_.Verify(*entry, it.condition);
      }
    }
    for (const OrderedLeader& it : heartbeat.ordered) {
      if (leaders_.NoteOrdered(it.service, it.endpoint, it.fencing_token,
                               outlet_.Now())) {
        outlet_.AnnounceLeader(it.service, it.endpoint);
      }
    }
    PruneSuspicions();
    Review();
  }

  /** Writes what other VMs should know.

      @param heartbeat  receives suspicions, duties and ordered leaders
  */
  void Fill(Heartbeat& heartbeat) {
    heartbeat.suspicions = suspicions_.List();
    for (const auto& [service, token] : claims_.List()) {
      heartbeat.duties.push_back({service, token});
    }
    const TimePoint now = outlet_.Now();
    std::erase_if(ordered_, [&](const auto& it) {
      return now - it.second >= kOrderedKept;
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
    for (const auto& [service, sync] : sync_) {
      const std::optional<ReplacementReason> reason = FindReason(service, now);
      unsettled = unsettled || reason.has_value();
      if (reason && IsDriver(service)) {
        Replace(service, *reason, now);
      } else if (!reason) {
        ClaimAhead(service, now);
        Confirm(service, now);
      }
    }
    if (unsettled && !std::exchange(ticking_, true)) {
      outlet_.After(kFailoverTick, [this] {
        ticking_ = false;
        Review();
      });
    }
  }

  /** Gives up every duty, as the process stops. */
  void Leave() { leaving_ = true; }
  /** @returns the primaries that this VM knows, by service */
  std::vector<std::pair<ServiceId, EndpointId>> ListLeaders() const {
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

  void HandleSuspicionsChanged() {
    outlet_.SendHeartbeats();
    Review();
  }

  uint32_t CountVantagePoints(const EndpointId& endpoint,
                              EndpointCondition& condition) const {
    uint32_t n = 0;
    if (const auto own = suspicions_.Get(endpoint)) {
      condition = *own;
      ++n;
    }
    for (const PeerGroup::Peer* peer : peers_.ListLive()) {
      for (const ConditionReport& it : peer->last.suspicions) {
        if (it.endpoint == endpoint) {
          condition = it.condition;
          ++n;
          break;
        }
      }
    }
    return n;
  }

  std::optional<ReplacementReason> FindReason(const ServiceId& service,
                                              TimePoint now) {
    const auto leader = leaders_.Get(service, now);
    if (!leader) {
      return std::nullopt;
    }
    if (leader->gone) {
      return ReplacementReason::kGone;
    }
    if (leader->failed_to_lead) {
      return ReplacementReason::kGone;
    }
    const EndpointEntry* entry = Find(leader->endpoint);
    if (entry == nullptr) {
      return std::nullopt;
    }
    if (entry->draining) {
      return ReplacementReason::kDraining;
    }
    EndpointCondition condition = EndpointCondition::kAnswering;
    const uint32_t votes = CountVantagePoints(leader->endpoint, condition);
    const uint32_t live = peers_.CountLive();
    // A third of the VMs: a primary that so many cannot use costs more than the
    // gap of a promotion. A single VM may itself be the one that is cut off.
    const uint32_t needed = live == 1 ? 1 : std::max(2U, (live + 2) / 3);
    // One line when the first VM suspects it, one when enough do, one at the
    // end.
    const uint32_t level = votes == 0 ? 0 : votes < needed ? 1 : 2;
    if (level != std::exchange(last_levels_[leader->endpoint], level)) {
      LogEvent(Event::kLeaderSuspected,
               {{"service", service.value},
                {"endpoint", leader->endpoint.value},
                {"condition", std::string(ConditionName(condition))},
                {"vantage_points", std::to_string(votes)},
                {"live", std::to_string(live)}});
    }
    if (votes < needed) {
      return std::nullopt;
    }
    return condition == EndpointCondition::kCommitsStalled
               ? ReplacementReason::kCommitsStalled
               : ReplacementReason::kUnreachable;
  }

  /** @returns the live peer that holds a duty with the newest token, or 0 */
  uint64_t FindPeerToken(const ServiceId& service) const {
    uint64_t token = 0;
    for (const PeerGroup::Peer* peer : peers_.ListLive()) {
      for (const HeldDuty& it : peer->last.duties) {
        if (it.service == service) {
          token = std::max(token, it.fencing_token);
        }
      }
    }
    return token;
  }

  bool IsRankedFirst(const ServiceId& service) const {
    std::vector<VmEntry> vms;
    VmEntry self;
    self.vm = self_;
    self.site = site_;
    vms.push_back(self);
    for (const PeerGroup::Peer* it : peers_.ListLive()) {
      VmEntry entry;
      entry.vm = it->last.vm;
      entry.site = it->last.site;
      vms.push_back(entry);
    }
    const std::vector<VmId> ranked = RankOwners(vms, {}, service.value, 1);
    return !ranked.empty() && ranked.front() == self_;
  }

  bool IsDriver(const ServiceId& service) const {
    if (leaving_) {
      return false;
    }
    const uint64_t own = claims_.GetToken(service);
    const uint64_t other = FindPeerToken(service);
    if (own != 0 || other != 0) {
      return own > other;
    }
    return IsRankedFirst(service);
  }

  void ClaimAhead(const ServiceId& service, TimePoint now) {
    if (leaving_ || now - started_at_ < kClaimAfter ||
        now < progress_[service].not_before || !outlet_.IsStoreConnected() ||
        claims_.GetToken(service) != 0 || FindPeerToken(service) != 0 ||
        !IsRankedFirst(service)) {
      return;
    }
    Claim(service, now, [] {});
  }

  void Claim(const ServiceId& service,
             TimePoint now,
             std::function<void()> then) {
    Progress& progress = progress_[service];
    if (progress.claiming || now - progress.claimed_at < kClaimRetry) {
      return;
    }
    progress.claiming = true;
    progress.claimed_at = now;
    claims_.Claim(service, [this, service, then = std::move(then)](
                               std::error_code ec, uint64_t) {
      progress_[service].claiming = false;
      if (ec) {
        LogEvent(Event::kDutyRefused, {{"service", service.value},
                                       {"fencing_token", "none"},
                                       {"call", ec.message()}});
        return;
      }
      progress_[service].unsettled = true;
      outlet_.SendHeartbeats();
      // The holder before may have left replicas paused.
      for (const EndpointEntry& it : endpoints_) {
        if (it.service == service && !progress_[service].running) {
          paused_.Check(it);
        }
      }
      then();
      Review();
    });
  }

  /** Orders the endpoint that leads to lead, under the newest token: that
      changes nothing, but the platform then refuses every older order. */
  void Confirm(const ServiceId& service, TimePoint now) {
    Progress& progress = progress_[service];
    const uint64_t token = claims_.GetToken(service);
    const auto leader = leaders_.Get(service, now);
    const EndpointEntry* entry = leader ? Find(leader->endpoint) : nullptr;
    if (!progress.unsettled || progress.confirming || progress.running ||
        token == 0 || entry == nullptr || now < progress.not_before) {
      return;
    }
    progress.confirming = true;
    orders_.Send(*entry, {OrderKind::kReport, {}}, kOrderTimeout,
                 [this, service, token, id = entry->id](
                     std::error_code ec, const EndpointStanding& standing) {
                   if (ec || !standing.leads) {
                     EndConfirm(service, Error::kUnreachable);
                     return;
                   }
                   promotions_.Promote(service, id, token,
                                       [this, service](std::error_code end) {
                                         EndConfirm(service, end);
                                       });
                 });
  }

  void EndConfirm(const ServiceId& service, std::error_code ec) {
    Progress& progress = progress_[service];
    progress.confirming = false;
    if (!ec) {
      progress.unsettled = false;
      progress.ordered = {};
      return;
    }
    if (ec == Error::kSuperseded || ec == Error::kAnswerLost) {
      LogEvent(Event::kDutyRefused,
               {{"service", service.value},
                {"fencing_token", std::to_string(claims_.GetToken(service))},
                {"call", "confirm: " + ec.message()}});
      // An order without an answer may be carried out after another endpoint
      // was promoted; only a higher token makes it void then.
      claims_.Forget(service);
    }
    progress.not_before = outlet_.Now() + kReplacementRetry;
    outlet_.After(kReplacementRetry, [this] { Review(); });
  }

  void Replace(const ServiceId& service,
               ReplacementReason reason,
               TimePoint now) {
    Progress& progress = progress_[service];
    if (progress.running || progress.claiming || progress.confirming ||
        now < progress.not_before) {
      return;
    }
    if (claims_.GetToken(service) == 0) {
      Claim(service, now, [this] { Review(); });
      return;
    }
    ReplacementPlan plan;
    plan.service = service;
    plan.primary_id = leaders_.Get(service, now)->endpoint;
    plan.reason = reason;
    plan.fencing_token = claims_.GetToken(service);
    plan.preferred = progress.ordered;
    for (const EndpointEntry& it : endpoints_) {
      if (it.service != service) {
        continue;
      }
      if (it.id == plan.primary_id) {
        plan.primary = it;
      } else {
        plan.replicas.push_back(it);
      }
    }
    progress.running = true;
    paused_.Forget(plan.replicas);
    LogEvent(Event::kReplacementStarted,
             {{"service", service.value},
              {"primary", plan.primary_id.value},
              {"reason", std::string(ReasonName(reason))},
              {"fencing_token", std::to_string(plan.fencing_token)}});
    std::make_shared<Replacement>(
        orders_, promotions_, outlet_, std::move(plan),
        [this, service, now](const ReplacementResult& result) {
          HandleEnd(service, now, result);
        })
        ->Start();
  }

  void HandleEnd(const ServiceId& service,
                 TimePoint began_at,
                 const ReplacementResult& result) {
    const TimePoint now = outlet_.Now();
    Progress& progress = progress_[service];
    progress.running = false;
    progress.not_before = now + kReplacementRetry;
    switch (result.end) {
      case ReplacementEnd::kPromoted:
      case ReplacementEnd::kUncertain:
        progress.not_before = now + kPromotionLimit;
        ordered_.emplace_back(
            OrderedLeader{service, result.leader, result.fencing_token}, now);
        leaders_.NoteOrdered(service, result.leader, result.fencing_token, now);
        LogEvent(
            Event::kReplacementDone,
            {{"service", service.value},
             {"endpoint", result.leader.value},
             {"took_ms", std::to_string((now - began_at).count() / 1000)}});
        progress.unsettled = result.end == ReplacementEnd::kUncertain;
        progress.ordered = progress.unsettled ? result.leader : EndpointId{};
        if (progress.unsettled) {
          // The next order must be above the one that may still come.
          claims_.Forget(service);
        }
        outlet_.AnnounceLeader(service, result.leader);
        outlet_.SendHeartbeats();
        outlet_.After(kPromotionLimit, [this] { Review(); });
        break;
      case ReplacementEnd::kAlreadyReplaced:
        leaders_.NoteProven(service, result.leader, result.term);
        outlet_.AnnounceLeader(service, result.leader);
        break;
      case ReplacementEnd::kSuperseded:
        LogEvent(Event::kDutyRefused,
                 {{"service", service.value},
                  {"fencing_token", std::to_string(claims_.GetToken(service))},
                  {"call", "promote"}});
        claims_.Forget(service);
        break;
      case ReplacementEnd::kNotNeeded:
      case ReplacementEnd::kAbandoned:
        LogEvent(Event::kReplacementAbandoned,
                 {{"service", service.value},
                  {"reason", result.end == ReplacementEnd::kNotNeeded
                                 ? "the primary serves"
                                 : std::string(result.reason)}});
        break;
    }
    PruneSuspicions();
    for (const EndpointEntry& it : result.maybe_paused) {
      paused_.Release(it);
    }
    outlet_.After(kReplacementRetry, [this] { Review(); });
  }

  O& orders_;
  P& promotions_;
  T& outlet_;
  const PeerGroup& peers_;
  const VmId self_;
  const SiteId site_;
  DutyClaims<S> claims_;
  LeaderRegister leaders_;
  Suspicions<O, T> suspicions_;
  PausedReplicas<O, T> paused_;
  std::vector<EndpointEntry> endpoints_;
  std::map<ServiceId, uint32_t> sync_;
  std::map<ServiceId, Progress> progress_;
  std::map<EndpointId, uint32_t> last_levels_;
  std::vector<std::pair<OrderedLeader, TimePoint>> ordered_;
  const TimePoint started_at_;
  bool ticking_ = false;
  bool leaving_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_H_
