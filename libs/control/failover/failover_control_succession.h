#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_SUCCESSION_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_SUCCESSION_H_

// Methods of FailoverControl that take over what the former holder of a duty
// has left: paused replicas, and an order that is still to take effect.
// Included by failover_control.h.

#include <algorithm>

#include "control/failover/failover_control.h"

namespace magnoliareel {

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::ResumeInherited(const ServiceId& service,
                                                     TimePoint now) {
  Progress& progress = progress_[service];
  if (!progress.inherited) {
    return;
  }
  if (!IsCoordinator(service) && !progress.running) {
    progress.inherited.reset();
    return;
  }
  if (progress.running || IsOrderOpen(progress, now)) {
    return;
  }
  const auto primary = primaries_.GetLatestConfirmed(service);
  const bool is_newer_term = primary &&
                             primary->term > progress.inherited->former_term &&
                             progress.inherited->former_term > Term{};
  // The platform refuses orders of the former holder once it has accepted a
  // call of this VM. Until then it may carry out one whose answer was lost.
  const TimePoint claimed_at = progress.inherited->claimed_at;
  const bool is_fenced =
      progress.confirmed_at && *progress.confirmed_at >= claimed_at;
  const TimePoint safe_at = is_fenced
                                ? *progress.confirmed_at + kPromotionTimeout
                                : claimed_at + kLostPromotionRetention;
  if (!is_newer_term && now < safe_at) {
    return;
  }
  progress.inherited.reset();
  for (const EndpointEntry& it : ListEndpoints(service)) {
    if (is_newer_term) {
      // A command of the former holder's guard may pause it late.
      resumer_.WatchPaused(
          it, {ResumeReason::kDutyClaimed, std::nullopt, primary->term});
    } else {
      resumer_.ResumeIfPaused(it, {ResumeReason::kDutyClaimed, std::nullopt});
    }
  }
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::RecordPeerOrder(const ServiceId& service,
                                                     const EndpointId& endpoint,
                                                     uint64_t fencing_token) {
  if (!MayBeKnown(service) || endpoint.IsEmpty()) {
    return;
  }
  std::optional<PeerOrder>& order = progress_[service].peer_order;
  if (order && (fencing_token < order->fencing_token ||
                (fencing_token == order->fencing_token &&
                 (order->endpoint.IsEmpty() || endpoint == order->endpoint)))) {
    return;
  }
  const auto former = primaries_.GetLatestConfirmed(service);
  order = {endpoint, fencing_token, delegate_.Now(),
           former ? former->term : Term{}};
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::HandlePeerOrderProved(
    const ServiceId& service,
    const EndpointId& endpoint,
    Term term) {
  std::optional<PeerOrder>& order = progress_[service].peer_order;
  if (order && order->endpoint == endpoint && term > order->former_term) {
    // The token stays, so that a repeated notice is known.
    order->endpoint = {};
  }
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::ForgetPeerOrder(
    const ReplacementNotice& ended) {
  std::optional<PeerOrder>& order = progress_[ended.service].peer_order;
  if (order && order->endpoint == ended.successor &&
      order->fencing_token == ended.fencing_token) {
    // The token stays, so that a repeated notice is known.
    order->endpoint = {};
  }
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::InheritOrder(const ServiceId& service,
                                                  const GroupRecord& previous) {
  Progress& progress = progress_[service];
  const std::optional<PeerOrder>& order = progress.peer_order;
  const TimePoint now = delegate_.Now();
  const bool has_own =
      (!progress.pending_promotion.IsEmpty() && now < progress.pending_until) ||
      IsOrderOpen(progress, now);
  if (!order || order->endpoint.IsEmpty() || has_own ||
      now - order->heard_at >= kLostPromotionRetention) {
    return;
  }
  const auto former = primaries_.GetLatestConfirmed(service);
  Term former_term = order->former_term;
  if (former && former->endpoint != order->endpoint) {
    former_term = std::max(former_term, former->term);
  }
  if (previous.primary != order->endpoint) {
    former_term = std::max(former_term, previous.term);
  }
  progress.pending_promotion = order->endpoint;
  progress.pending_until = order->heard_at + kLostPromotionRetention;
  progress.unconfirmed_order = {order->endpoint, order->heard_at, former_term,
                                progress.pending_until, progress.pending_until};
  progress.replaced_term = former_term;
  // If it does not take effect, it is ordered again under this VM's token.
  primaries_.RecordPromotion(service, order->endpoint, order->fencing_token,
                             order->heard_at);
  BeginHold(service, order->endpoint, claims_.GetToken(service));
  GuardInheritedOrder(service, former);
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::GuardInheritedOrder(
    const ServiceId& service,
    const std::optional<PrimaryRegistry::ConfirmedPrimary>& former) {
  const PromotionOrder& order = *progress_[service].unconfirmed_order;
  ReplacementPlan plan;
  plan.service = service;
  plan.list_endpoints = [this, service] { return ListEndpoints(service); };
  for (const EndpointEntry& it : ListEndpoints(service)) {
    if (former && it.id == former->endpoint) {
      plan.primary = it;
    } else {
      plan.replicas.push_back(it);
    }
  }
  if (former && !plan.primary) {
    if (const EndpointEntry* it = FindFormerEntry(former->endpoint)) {
      plan.primary = *it;
    }
  }
  // The former primary is asked first: the order may have taken effect.
  GuardOrder(plan, {order.endpoint, order.former_term, true});
  guard_.SetDeadline(service, *order.open_until);
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_SUCCESSION_H_
