#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_ORDERS_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_ORDERS_H_

// Methods of FailoverControl that follow an ordered promotion until it has
// taken effect, and end the pauses that it relies on. Included by
// failover_control.h.

#include <algorithm>
#include <optional>
#include <utility>

#include "control/failover/failover_control.h"

namespace magnoliareel {

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::RecordOrder(const ReplacementPlan& plan,
                                                 const PlannedOrder& order) {
  const auto former = primaries_.GetLatestConfirmed(plan.service);
  std::optional<PromotionOrder>& open =
      progress_[plan.service].unconfirmed_order;
  const TimePoint lost_until = open ? open->lost_until : TimePoint{};
  open = {order.successor, delegate_.Now(),
          std::max(order.newest_term, former ? former->term : Term{}),
          std::nullopt, lost_until};
  progress_[plan.service].replaced_term = open->former_term;
  progress_[plan.service].ordered_at = open->sent_at;
  // It takes effect before this order, or is refused.
  progress_[plan.service].fencing_order.reset();
  BeginHold(plan.service, order.successor, plan.fencing_token);
  GuardOrder(plan, order);
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::SettleOrder(
    const ServiceId& service,
    const ReplacementResult& result) {
  const TimePoint now = delegate_.Now();
  Progress& progress = progress_[service];
  std::optional<PromotionOrder>& order = progress.unconfirmed_order;
  if (result.has_ordered && order) {
    const bool is_superseded =
        result.outcome == ReplacementOutcome::kSuperseded;
    if (result.promotion_reply_lost && !is_superseded) {
      order->lost_until = now + kLostPromotionRetention;
      progress.pending_promotion = order->endpoint;
      progress.pending_until = order->lost_until;
    } else if (result.outcome == ReplacementOutcome::kPromoted) {
      // The platform refuses earlier orders from now on.
      order->lost_until = {};
      progress.pending_promotion = {};
    }
    order->open_until =
        result.outcome == ReplacementOutcome::kPromoted
            ? std::max(order->lost_until, now + kPromotionTimeout)
            : order->lost_until;
  }
  if (IsOrderOpen(progress, now)) {
    guard_.SetDeadline(service, *order->open_until);
  } else {
    order.reset();
    guard_.End(service);
  }
  ReviewHold(service, now);
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::HandleOrdersFenced(
    const ServiceId& service) {
  const TimePoint until = delegate_.Now() + kPromotionTimeout;
  Progress& progress = progress_[service];
  progress.pending_until = std::min(progress.pending_until, until);
  std::optional<PromotionOrder>& order = progress.unconfirmed_order;
  if (order && order->open_until) {
    order->lost_until = std::min(order->lost_until, until);
    order->open_until = std::min(*order->open_until, until);
    guard_.SetDeadline(service, *order->open_until);
  }
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::RecordPromotionConfirmed(
    const ServiceId& service,
    const EndpointId& endpoint,
    Term term) {
  std::optional<PromotionOrder>& order = progress_[service].unconfirmed_order;
  // An endpoint that is promoted again may have proved its former term late.
  // Another endpoint that leads a newer term does so by an earlier order, and
  // this one is still to take effect.
  if (!order || order->endpoint != endpoint || term <= order->former_term) {
    HoldForFencingOrder(service, endpoint, term);
    return;
  }
  const Duration age = delegate_.Now() - order->sent_at;
  LogEvent(Event::kPromotionConfirmed,
           {{"service", service.value},
            {"endpoint", endpoint.value},
            {"term", std::to_string(term.value)},
            {"after_ms", std::to_string(age.count() / 1000)}});
  Progress& progress = progress_[service];
  if (progress.pending_promotion == endpoint) {
    // Carried out again, the order changes nothing.
    progress.pending_promotion = {};
  }
  order.reset();
  guard_.End(service);
  if (!HoldForFencingOrder(service, endpoint, term)) {
    EndHold(service);
  }
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
bool FailoverControl<S, R, C, P, T>::HoldForFencingOrder(
    const ServiceId& service,
    const EndpointId& endpoint,
    Term term) {
  Progress& progress = progress_[service];
  std::optional<FencingOrder>& order = progress.fencing_order;
  const TimePoint now = delegate_.Now();
  if (!order || term <= order->term || now >= order->until) {
    return false;
  }
  const uint64_t token = claims_.GetToken(service);
  if (endpoint == order->endpoint || token == 0 ||
      FindPeerToken(service) > token) {
    order.reset();
    progress.fencing_hold_until = {};
    ReviewHold(service, now);
    return false;
  }
  order->term = term;
  progress.fencing_hold_until = order->until;
  BeginHold(service, order->endpoint, token);
  return true;
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::GuardOrder(const ReplacementPlan& plan,
                                                const PlannedOrder& order) {
  GuardedOrder guarded;
  guarded.service = plan.service;
  guarded.successor = order.successor;
  guarded.former_primary = plan.primary;
  guarded.is_demoted = order.is_demoted;
  guarded.replicas = plan.replicas;
  guarded.next_term =
      progress_[plan.service].unconfirmed_order->former_term.Next();
  guarded.list_endpoints = plan.list_endpoints;
  guarded.handle_proof = [this, service = plan.service](const EndpointId& id,
                                                        Term term) {
    HandlePeerOrderProved(service, id, term);
    primaries_.RecordConfirmed(service, id, term);
    RecordPromotionConfirmed(service, id, term);
    PruneSuspicions();
    Review();
  };
  guarded.handle_pause = [this, service = plan.service,
                          term =
                              guarded.next_term](const EndpointEntry& replica) {
    progress_[service].guarded_replicas.push_back({replica, term, true});
  };
  guard_.Begin(std::move(guarded));
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::ReviewGuard(const ServiceId& service,
                                                 TimePoint now) {
  const Progress& progress = progress_[service];
  if (progress.running || !IsOrderOpen(progress, now)) {
    return;
  }
  const PromotionOrder& order = *progress.unconfirmed_order;
  const bool is_superseded =
      FindPeerToken(service) > progress.latest_hold_token;
  // An order that was accepted before another VM took over still takes effect.
  guard_.SetDeadline(service, is_superseded
                                  ? std::min(*order.open_until,
                                             order.sent_at + kPromotionTimeout)
                                  : *order.open_until);
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::KeepOrEndPauses(
    const ServiceId& service,
    const ReplacementResult& result) {
  Progress& progress = progress_[service];
  const bool is_ordered = result.outcome == ReplacementOutcome::kPromoted ||
                          result.outcome == ReplacementOutcome::kUncertain;
  if (!is_ordered && !IsOrderOpen(progress, delegate_.Now())) {
    for (const EndpointEntry& it : result.possibly_paused) {
      resumer_.ScheduleResume(
          it, {ResumeReason::kAbandonedAttempt, result.pause_term});
    }
    for (const PausedReplica& it : progress.guarded_replicas) {
      resumer_.ScheduleResume(it.entry,
                              {ResumeReason::kAbandonedAttempt, it.pause_term});
    }
    progress.guarded_replicas.clear();
    resumer_.Restore(progress.pending_resumes);
    return;
  }
  const auto keep = [&progress](const PausedReplica& replica) {
    std::erase_if(progress.paused_replicas, [&replica](const auto& it) {
      return it.entry.id == replica.entry.id;
    });
    progress.paused_replicas.push_back(replica);
  };
  for (const auto& it : progress.pending_resumes) {
    keep({it.replica, it.cause.pause_term});
  }
  // The pauses of this attempt are newer.
  for (const EndpointEntry& it : result.possibly_paused) {
    keep({it, result.pause_term});
  }
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::ResumePaused(const ServiceId& service,
                                                  TimePoint now) {
  Progress& progress = progress_[service];
  if (!IsCoordinator(service) && !progress.running) {
    // The current duty holder controls the pauses. Resuming one of its replicas
    // would defeat its replacement attempt.
    progress.paused_replicas.clear();
    progress.guarded_replicas.clear();
    resumer_.Cancel(ListEndpoints(service));
    return;
  }
  const auto primary = primaries_.Get(service, now);
  // A proof of the old primary may arrive while an order is open, which still
  // leads then.
  if ((progress.paused_replicas.empty() && progress.guarded_replicas.empty()) ||
      progress.running || IsOrderOpen(progress, now) || !primary ||
      !primary->confirmed) {
    return;
  }
  progress.paused_replicas.insert(progress.paused_replicas.end(),
                                  progress.guarded_replicas.begin(),
                                  progress.guarded_replicas.end());
  progress.guarded_replicas.clear();
  // The promotion is in force, so the old primary can no longer acknowledge
  // commits through the paused replicas.
  for (const PausedReplica& it : progress.paused_replicas) {
    const ResumeCause cause{ResumeReason::kPromotionConfirmed, it.pause_term};
    if (it.entry.id == primary->endpoint) {
      continue;
    }
    if (it.may_pause_late) {
      resumer_.WatchPaused(it.entry, cause);
    } else {
      resumer_.ResumeIfPaused(it.entry, cause);
    }
  }
  progress.paused_replicas.clear();
  progress.not_before = now + kReplicaCatchUpDelay;
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_ORDERS_H_
