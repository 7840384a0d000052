#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_REPLACEMENT_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_REPLACEMENT_H_

// Methods of FailoverControl that run replacements. Included by
// failover_control.h.

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/failover/failover_control.h"

namespace magnoliareel {

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::Replace(const ServiceId& service,
                                             ReplacementReason reason,
                                             TimePoint now) {
  Progress& progress = progress_[service];
  if (progress.running || progress.claiming || progress.confirming ||
      now < progress.not_before) {
    return;
  }
  const bool has_unaccounted_departures =
      !ListBlockingDepartures(service).empty();
  // While the primary leads, a replica may still receive its log.
  const bool is_one_member_missing = (reason == ReplacementReason::kGone ||
                                      reason == ReplacementReason::kDemoted) &&
                                     IsOneMemberMissing(service, now);
  if (has_unaccounted_departures && !is_one_member_missing &&
      reason != ReplacementReason::kDemoted) {
    return;
  }
  if (claims_.GetToken(service) == 0) {
    Claim(service, now, [this] { Review(); });
    return;
  }
  ReplacementPlan plan;
  plan.service = service;
  const auto primary = *primaries_.Get(service, now);
  plan.primary_id = primary.endpoint;
  if (const auto former = primaries_.GetLatestConfirmed(service);
      reason == ReplacementReason::kGone && former &&
      former->endpoint != primary.endpoint) {
    // The order for the recorded primary was not confirmed. The former one may
    // lead, and is demoted like any other.
    plan.primary_id = former->endpoint;
    plan.unconfirmed_order_term =
        std::max(former->term, progress.replaced_term);
  }
  plan.reason = reason;
  plan.answered_lately = IsReportedStalled(plan.primary_id);
  plan.fencing_token = claims_.GetToken(service);
  plan.demoted_primary = progress.demoted_primary;
  plan.has_unsettled_orders =
      progress.unsettled || (progress.confirmed_at &&
                             now - *progress.confirmed_at < kPromotionTimeout);
  plan.has_unaccounted_departures = has_unaccounted_departures;
  plan.is_one_member_missing = is_one_member_missing;
  plan.list_endpoints = [this, service] { return ListEndpoints(service); };
  plan.may_gain_replica = MayGainReplica(service, plan.primary_id);
  plan.is_primary_listed = [this, primary = plan.primary_id] {
    return delegate_.IsListed(primary);
  };
  plan.is_store_connected = delegate_.IsStoreConnected();
  plan.read_directory = [this](std::function<void(std::error_code)> done) {
    delegate_.ReadDirectory(std::move(done));
  };
  if (std::find(acknowledging_services_.begin(), acknowledging_services_.end(),
                service) != acknowledging_services_.end()) {
    plan.find_answered_commit = [this, service](auto done) {
      answered_commits_.Find(service, std::move(done));
    };
  }
  plan.hold_commits = [this, service, token = plan.fencing_token] {
    BeginHold(service, {}, token);
  };
  if (now < progress.pending_until) {
    plan.pending_promotion = progress.pending_promotion;
  }
  std::vector<EndpointId> members;
  for (const EndpointEntry& it : ListEndpoints(service)) {
    members.push_back(it.id);
    // An endpoint whose promotion failed counts as a replica: the old primary
    // may still acknowledge commits through it.
    if (it.id == plan.primary_id &&
        (!primary.promotion_failed || plan.unconfirmed_order_term)) {
      plan.primary = it;
    } else {
      plan.replicas.push_back(it);
    }
  }
  if (const EndpointEntry* former = FindFormerEntry(plan.primary_id);
      former != nullptr && FindEndpoint(plan.primary_id) == nullptr) {
    // It may only be cut off from the store.
    plan.primary = *former;
  }
  plan.check_duty = [this, service](std::function<void(std::error_code)> done) {
    CheckDuty(service, std::move(done));
  };
  plan.record_order = [this, ordered = plan](const PlannedOrder& order) {
    RecordOrder(ordered, order);
  };
  if (plan.pending_promotion.IsEmpty()) {
    // The attempt compares the replicas anew, and may order another endpoint.
    guard_.End(service);
  }
  progress.running = true;
  progress.pending_resumes = resumer_.Cancel(plan.replicas);
  LogEvent(Event::kReplacementStarted,
           {{"service", service.value},
            {"primary", plan.primary_id.value},
            {"reason", std::string(GetReplacementReasonName(reason))},
            {"fencing_token", std::to_string(plan.fencing_token)},
            {"members", JoinIds(members)},
            {"departed", has_unaccounted_departures
                             ? JoinIds(ListBlockingDepartures(service))
                             : "none"},
            {"endpoints_version", std::to_string(endpoints_version_)},
            {"endpoints_age_ms",
             std::to_string((now - endpoints_changed_at_).count() / 1000)},
            {"may_gain_replica", plan.may_gain_replica ? "yes" : "no"},
            {"store", delegate_.IsStoreConnected() ? "connected" : "lost"}});
  std::make_shared<Replacement>(
      commands_, forwarder_, promotions_, delegate_, std::move(plan),
      [this, service, now](const ReplacementResult& result) {
        HandleReplacementResult(service, now, result);
      })
      ->Start();
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::HandleReplacementResult(
    const ServiceId& service,
    TimePoint began_at,
    const ReplacementResult& result) {
  const TimePoint now = delegate_.Now();
  Progress& progress = progress_[service];
  progress.running = false;
  if (result.has_unsettled_orders) {
    ConfirmPrimary(service, now);
  }
  if (result.promotion_reply_lost &&
      result.outcome != ReplacementOutcome::kSuperseded) {
    // A promotion under this token may still be executed, and only a higher
    // token invalidates it. No further promotion is ordered under this token,
    // and the next claim is followed by a confirmation.
    progress.unsettled = true;
    claims_.Forget(service);
  }
  progress.not_before = now + kReplacementRetryInterval;
  if (result.missing_commit) {
    LogMissingCommit(service, *result.missing_commit);
  }
  if (result.demoted_primary) {
    progress.demoted_primary = *result.demoted_primary;
    progress.awaits_promotion = true;
    primaries_.RecordDemoted(service, result.demoted_primary->id);
  }
  const auto former = primaries_.GetLatestConfirmed(service);
  switch (result.outcome) {
    case ReplacementOutcome::kPromoted:
    case ReplacementOutcome::kUncertain:
      progress.awaits_promotion = false;
      progress.not_before = now + kPromotionTimeout;
      // Only the latest promotion is announced: a VM that receives two under
      // one token applies the later one.
      std::erase_if(promotion_notices_, [&](const auto& it) {
        return it.first.service == service;
      });
      promotion_notices_.emplace_back(
          PromotionNotice{service, result.primary, result.fencing_token}, now);
      primaries_.RecordPromotion(service, result.primary, result.fencing_token,
                                 now);
      LogEvent(
          Event::kReplacementDone,
          {{"service", service.value},
           {"endpoint", result.primary.value},
           {"took_ms", std::to_string((now - began_at).count() / 1000)},
           {"received", result.promoted_received
                            ? FormatLogPoint(*result.promoted_received)
                            : "none"},
           {"fencing_token", std::to_string(result.fencing_token)},
           {"demotion", std::string(GetPrimaryDemotionName(result.demotion))},
           {"log_end", result.demoted_primary && result.demoted_primary->log_end
                           ? FormatLogPoint(*result.demoted_primary->log_end)
                           : "none"},
           {"check", std::string(GetPromotionCheckName(result.check))},
           {"former", former ? former->endpoint.value : "none"},
           {"answer", result.promotion_reply_lost ? "lost" : "accepted"},
           {"pause_term", std::to_string(result.pause_term.value)},
           {"paused", JoinEntryIds(result.possibly_paused)},
           {"duty_ms",
            std::to_string((now - progress.claimed_at).count() / 1000)}});
      delegate_.AnnouncePrimary(service, result.primary);
      delegate_.SendHeartbeats();
      delegate_.After(kPromotionTimeout, [this] { Review(); });
      break;
    case ReplacementOutcome::kAlreadyReplaced:
      progress.awaits_promotion = false;
      primaries_.RecordConfirmed(service, result.primary, result.term);
      RecordPromotionConfirmed(service, result.primary, result.term);
      delegate_.AnnouncePrimary(service, result.primary);
      break;
    case ReplacementOutcome::kSuperseded:
      LogEvent(Event::kDutyRefused,
               {{"service", service.value},
                {"fencing_token", std::to_string(claims_.GetToken(service))},
                {"call", "promote"}});
      claims_.Forget(service);
      break;
    case ReplacementOutcome::kNotNeeded:
      progress.awaits_promotion = false;
      [[fallthrough]];
    case ReplacementOutcome::kAbandoned:
      LogEvent(Event::kReplacementAbandoned,
               {{"service", service.value},
                {"reason", result.outcome == ReplacementOutcome::kNotNeeded
                               ? "the primary is working"
                               : std::string(result.reason)}});
      break;
  }
  PruneSuspicions();
  SettleOrder(service, result);
  KeepOrEndPauses(service, result);
  progress.pending_resumes.clear();
  delegate_.After(kReplacementRetryInterval, [this] { Review(); });
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::LogMissingCommit(
    const ServiceId& service,
    const MissingCommit& missing) {
  const auto& [commit, candidate, received] = missing;
  if (std::exchange(progress_[service].missing_commit, commit.point) !=
      commit.point) {
    LogEvent(Event::kAnsweredCommitMissing,
             {{"service", service.value},
              {"endpoint", candidate.value},
              {"received", FormatLogPoint(received)},
              {"answered", FormatLogPoint(commit.point)},
              {"vm", commit.vm.value}});
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_REPLACEMENT_H_
