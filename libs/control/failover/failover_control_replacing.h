#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_REPLACING_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_REPLACING_H_

// When and how a primary is replaced. Included by failover_control.h.

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/failover/failover_control.h"

namespace magnoliareel {

template <RowStore S, EndpointOrders O, PromotionOrders P, class T>
uint32_t FailoverControl<S, O, P, T>::CountVantagePoints(
    const EndpointId& endpoint,
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

template <RowStore S, EndpointOrders O, PromotionOrders P, class T>
std::optional<ReplacementReason> FailoverControl<S, O, P, T>::FindReason(
    const ServiceId& service,
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
    LogEvent(Event::kPrimarySuspected,
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

template <RowStore S, EndpointOrders O, PromotionOrders P, class T>
void FailoverControl<S, O, P, T>::Replace(const ServiceId& service,
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
  const auto leader = *leaders_.Get(service, now);
  plan.primary_id = leader.endpoint;
  plan.reason = reason;
  plan.fencing_token = claims_.GetToken(service);
  plan.preferred = progress.ordered;
  for (const EndpointEntry& it : ListEndpoints(service)) {
    // One that was ordered to lead and has not is a replica: the old primary
    // may still acknowledge commits through it.
    if (it.id == plan.primary_id && !leader.failed_to_lead) {
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

template <RowStore S, EndpointOrders O, PromotionOrders P, class T>
void FailoverControl<S, O, P, T>::ResumePaused(const ServiceId& service,
                                               TimePoint now) {
  Progress& progress = progress_[service];
  if (!IsDriver(service) && !progress.running) {
    // Pauses are the present holder's now; resuming one of its replicas would
    // undo its attempt.
    progress.paused.clear();
    paused_.Forget(ListEndpoints(service));
    return;
  }
  const auto leader = leaders_.Get(service, now);
  if (progress.paused.empty() || progress.running || !leader ||
      !leader->confirmed) {
    return;
  }
  // The promotion is in force: what the old primary could still have
  // acknowledged through them, it cannot any more.
  for (const EndpointEntry& it : progress.paused) {
    if (it.id != leader->endpoint) {
      paused_.Check(it);
    }
  }
  progress.paused.clear();
  progress.not_before = now + kResumeTime;
}

template <RowStore S, EndpointOrders O, PromotionOrders P, class T>
void FailoverControl<S, O, P, T>::HandleEnd(const ServiceId& service,
                                            TimePoint began_at,
                                            const ReplacementResult& result) {
  const TimePoint now = outlet_.Now();
  Progress& progress = progress_[service];
  progress.running = false;
  if (result.orders_lost && result.end != ReplacementEnd::kSuperseded) {
    // An order under this token may still be carried out. Only a higher token
    // makes it void: nothing further is ordered under this one, and the next
    // claim is followed by a confirmation.
    progress.unsettled = true;
    claims_.Forget(service);
  }
  progress.not_before = now + kReplacementRetry;
  switch (result.end) {
    case ReplacementEnd::kPromoted:
    case ReplacementEnd::kUncertain:
      progress.not_before = now + kPromotionLimit;
      // A VM that hears of two orders under one token takes the later one.
      std::erase_if(ordered_, [&](const auto& it) {
        return it.first.service == service;
      });
      ordered_.emplace_back(
          OrderedLeader{service, result.leader, result.fencing_token}, now);
      leaders_.NoteOrdered(service, result.leader, result.fencing_token, now);
      LogEvent(Event::kReplacementDone,
               {{"service", service.value},
                {"endpoint", result.leader.value},
                {"took_ms", std::to_string((now - began_at).count() / 1000)}});
      progress.ordered = result.end == ReplacementEnd::kUncertain
                             ? result.leader
                             : EndpointId{};
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
  if (result.end == ReplacementEnd::kPromoted ||
      result.end == ReplacementEnd::kUncertain) {
    progress.paused = result.maybe_paused;
  } else {
    for (const EndpointEntry& it : result.maybe_paused) {
      paused_.Release(it);
    }
  }
  outlet_.After(kReplacementRetry, [this] { Review(); });
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_REPLACING_H_
