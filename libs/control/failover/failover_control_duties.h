#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_DUTIES_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_DUTIES_H_

// Methods of FailoverControl that claim duties and decide which VM may order a
// promotion. Included by failover_control.h.

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
uint64_t FailoverControl<S, R, C, P, T>::FindPeerToken(
    const ServiceId& service) const {
  const auto it = peer_tokens_.find(service);
  return it == peer_tokens_.end() ? 0 : it->second;
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::RefreshPeerState() {
  peer_tokens_.clear();
  peer_suspicions_.clear();
  live_vms_.clear();
  size_t peer_number = 0;
  for (const PeerGroup::Peer* peer : peers_.ListLive()) {
    for (const HeldDuty& it : peer->last.duties) {
      uint64_t& token = peer_tokens_[it.service];
      token = std::max(token, it.fencing_token);
    }
    for (const ConditionReport& it : peer->last.suspicions) {
      peer_suspicions_.emplace_back(peer_number, it);
    }
    ++peer_number;
  }
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
bool FailoverControl<S, R, C, P, T>::IsRankedFirst(
    const ServiceId& service) const {
  if (live_vms_.empty()) {
    VmEntry& self = live_vms_.emplace_back();
    self.vm = self_;
    self.site = site_;
    for (const PeerGroup::Peer* it : peers_.ListLive()) {
      VmEntry& entry = live_vms_.emplace_back();
      entry.vm = it->last.vm;
      entry.site = it->last.site;
    }
  }
  const std::vector<VmId> ranked = RankOwners(live_vms_, {}, service.value, 1);
  return !ranked.empty() && ranked.front() == self_;
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
bool FailoverControl<S, R, C, P, T>::IsCoordinator(
    const ServiceId& service) const {
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

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::ClaimUnheldDuty(const ServiceId& service,
                                                     TimePoint now) {
  if (leaving_ || now - started_at_ < kUnheldDutyClaimDelay ||
      now < progress_[service].not_before || !delegate_.IsStoreConnected() ||
      claims_.GetToken(service) != 0 || FindPeerToken(service) != 0 ||
      !IsRankedFirst(service)) {
    return;
  }
  Claim(service, now, [] {});
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::Claim(const ServiceId& service,
                                           TimePoint now,
                                           std::function<void()> then) {
  Progress& progress = progress_[service];
  if (now - started_at_ < kFirstClaimDelay || progress.claiming ||
      now - progress.claimed_at < kClaimRetryInterval) {
    return;
  }
  progress.claiming = true;
  progress.claimed_at = now;
  const auto merge = [this, service](const GroupRecord& previous) {
    return MakeGroupRecord(service, previous);
  };
  claims_.Claim(service, merge,
                [this, service, then = std::move(then)](
                    std::error_code ec, uint64_t, const GroupRecord& previous) {
                  progress_[service].claiming = false;
                  if (ec) {
                    LogEvent(Event::kDutyRefused, {{"service", service.value},
                                                   {"fencing_token", "none"},
                                                   {"call", ec.message()}});
                    return;
                  }
                  BeginDuty(service, previous);
                  then();
                  Review();
                });
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::BeginDuty(const ServiceId& service,
                                               const GroupRecord& previous) {
  progress_[service].unsettled = true;
  ApplyGroupRecord(service, previous);
  delegate_.SendHeartbeats();
  const auto former = primaries_.GetLatestConfirmed(service);
  const TimePoint now = delegate_.Now();
  progress_[service].inherited = {
      now, former ? former->term : Term{},
      claims_.IsTakenOver(service) ? now + kPromotionTimeout : now};
  InheritOrder(service, previous);
  delegate_.After(kPromotionTimeout, [this] { Review(); });
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::ConfirmPrimary(const ServiceId& service,
                                                    TimePoint now) {
  Progress& progress = progress_[service];
  const uint64_t token = claims_.GetToken(service);
  const auto primary = primaries_.Get(service, now);
  const EndpointEntry* entry =
      primary ? FindEndpoint(primary->endpoint) : nullptr;
  if (leaving_ || !progress.unsettled || progress.confirming ||
      progress.running || token == 0 || entry == nullptr ||
      now < progress.not_before) {
    return;
  }
  if (progress.inherited && now < progress.inherited->orders_until) {
    // An order that takes effect between the report of the primary and this one
    // would make it a promotion.
    return;
  }
  if (MayOtherOrderTakeEffect(service, entry->id, now)) {
    // Whichever of the two endpoints leads last holds every commit then.
    BeginHold(service, {}, token);
    progress.fencing_hold_until = TimePoint::max();
  }
  progress.confirming = true;
  forwarder_.Send(
      *entry, {EndpointCommandKind::kReport, {}}, kEndpointCommandTimeout,
      [this, service, token, id = entry->id](std::error_code ec,
                                             const ReplicationStatus& status) {
        if (ec || !status.is_primary || leaving_) {
          FinishConfirmation(service, Error::kUnreachable);
          return;
        }
        CheckDuty(service, [this, service, token, id,
                            term = status.term](std::error_code end) {
          if (end) {
            FinishConfirmation(service, end == Error::kSuperseded
                                            ? Error::kSuperseded
                                            : Error::kUnreachable);
            return;
          }
          OrderPresentPrimary(service, token, id, term);
        });
      });
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::CheckDuty(
    const ServiceId& service,
    std::function<void(std::error_code)> done) {
  RefreshPeerState();
  if (FindPeerToken(service) > claims_.GetToken(service)) {
    done(Error::kSuperseded);
    return;
  }
  const TimePoint asked_at = delegate_.Now();
  if (peers_.HearsMost(asked_at)) {
    done({});
    return;
  }
  claims_.Verify(
      service, [this, asked_at, done = std::move(done)](std::error_code ec) {
        const bool is_old = delegate_.Now() - asked_at >= kMaxDutyRowAge;
        done(!ec && is_old ? make_error_code(Error::kStoreUnavailable) : ec);
      });
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::OrderPresentPrimary(
    const ServiceId& service,
    uint64_t fencing_token,
    const EndpointId& endpoint,
    Term term) {
  if (const auto latest = primaries_.GetLatestConfirmed(service);
      latest && latest->endpoint != endpoint && latest->term > term) {
    FinishConfirmation(service, Error::kUnreachable);
    return;
  }
  std::optional<FencingOrder>& order = progress_[service].fencing_order;
  const TimePoint lost_until =
      order && order->endpoint == endpoint ? order->lost_until : TimePoint{};
  order = {endpoint, term, TimePoint::max(), lost_until};
  promotions_.Promote(service, endpoint, fencing_token,
                      [this, service](std::error_code ec) {
                        SettleFencingOrder(progress_[service], ec);
                        FinishConfirmation(service, ec);
                      });
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
bool FailoverControl<S, R, C, P, T>::MayOtherOrderTakeEffect(
    const ServiceId& service,
    const EndpointId& endpoint,
    TimePoint now) {
  const Progress& progress = progress_[service];
  const bool is_own_open = !progress.pending_promotion.IsEmpty() &&
                           progress.pending_promotion != endpoint &&
                           now < progress.pending_until;
  const bool is_fencing_open = progress.fencing_order &&
                               progress.fencing_order->endpoint != endpoint &&
                               now < progress.fencing_order->until;
  const bool is_order_open = IsOrderOpen(progress, now) &&
                             progress.unconfirmed_order->endpoint != endpoint;
  const std::optional<PeerOrder>& heard = progress.peer_order;
  const bool is_heard_open = heard && !heard->endpoint.IsEmpty() &&
                             heard->endpoint != endpoint &&
                             now - heard->heard_at < kLostPromotionRetention;
  return is_own_open || is_fencing_open || is_order_open || is_heard_open;
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::FinishConfirmation(
    const ServiceId& service,
    std::error_code ec) {
  Progress& progress = progress_[service];
  progress.confirming = false;
  if (progress.fencing_hold_until > TimePoint{}) {
    progress.fencing_hold_until = !ec || ec == Error::kAnswerLost
                                      ? delegate_.Now() + kPromotionTimeout
                                      : TimePoint{};
  }
  if (!ec) {
    progress.unsettled = false;
    progress.confirmed_at = delegate_.Now();
    HandleOrdersFenced(service);
    return;
  }
  if (ec == Error::kSuperseded || ec == Error::kAnswerLost) {
    LogEvent(Event::kDutyRefused,
             {{"service", service.value},
              {"fencing_token", std::to_string(claims_.GetToken(service))},
              {"call", "confirm: " + ec.message()}});
    // A promotion whose answer was lost may be executed after another endpoint
    // was promoted. Only a higher token invalidates it.
    claims_.Forget(service);
  }
  progress.not_before = delegate_.Now() + kReplacementRetryInterval;
  delegate_.After(kReplacementRetryInterval, [this] { Review(); });
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::SettleFencingOrder(Progress& progress,
                                                        std::error_code ec) {
  std::optional<FencingOrder>& order = progress.fencing_order;
  if (!order) {
    return;
  }
  const TimePoint now = delegate_.Now();
  if (!ec || ec == Error::kSuperseded) {
    order->lost_until = {};
  } else if (ec == Error::kAnswerLost) {
    order->lost_until = now + kLostPromotionRetention;
  }
  order->until = ec ? order->lost_until : now + kPromotionTimeout;
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_DUTIES_H_
