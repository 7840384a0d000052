#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_HOLDS_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_HOLDS_H_

// Methods of FailoverControl that keep all VMs from sending commits to a
// primary that is being replaced. Included by failover_control.h.

#include <algorithm>
#include <optional>

#include "control/failover/failover_control.h"

namespace magnoliareel {

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::BeginHold(const ServiceId& service,
                                               const EndpointId& successor,
                                               uint64_t fencing_token) {
  std::optional<ReplacementNotice>& hold = progress_[service].hold;
  const ReplacementNotice notice{service, successor, fencing_token};
  if (hold != notice) {
    hold = notice;
    progress_[service].latest_hold_token = fencing_token;
    delegate_.SendHeartbeats();
    // A datagram may be lost.
    delegate_.After(kHoldNoticeRepeatDelay, [this, service, notice] {
      if (progress_[service].hold == notice) {
        delegate_.SendHeartbeats();
      }
    });
  }
  delegate_.HoldCommits(service, successor);
  ScheduleReview();
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::EndHold(const ServiceId& service) {
  if (const auto ended = std::exchange(progress_[service].hold, std::nullopt)) {
    const auto it = peer_holds_.find(service);
    if (it == peer_holds_.end() || it->second.has_ended ||
        it->second.notice.fencing_token < ended->fencing_token) {
      delegate_.ReleaseCommits(service);
    }
    delegate_.SendHeartbeats();
  }
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
bool FailoverControl<S, R, C, P, T>::ReviewHold(const ServiceId& service,
                                                TimePoint now) {
  const Progress& progress = progress_[service];
  if (!progress.hold) {
    const PeerHold* peer_hold = FindOpenPeerHold(service, now);
    if (peer_hold != nullptr) {
      delegate_.HoldCommits(service, peer_hold->notice.successor);
    }
    return peer_hold != nullptr;
  }
  const std::optional<PromotionOrder>& order = progress.unconfirmed_order;
  // An order that was accepted before another VM took over still takes effect.
  const bool is_superseded =
      FindPeerToken(service) > progress.hold->fencing_token &&
      (!order || now - order->sent_at >= kPromotionTimeout);
  const bool is_needed = progress.running || IsOrderOpen(progress, now) ||
                         now < progress.fencing_hold_until;
  if (!is_needed || is_superseded) {
    EndHold(service);
    return false;
  }
  delegate_.HoldCommits(service, progress.hold->successor);
  return true;
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::ApplyReplacementNotices(
    const Heartbeat& heartbeat) {
  const TimePoint now = delegate_.Now();
  for (const ReplacementNotice& it : heartbeat.replacements) {
    const auto known = peer_holds_.find(it.service);
    // A holder that has dropped its claim still announces its hold.
    const bool is_direct =
        HoldsDuty(heartbeat, it.service, it.fencing_token) ||
        (known != peer_holds_.end() && known->second.is_direct &&
         known->second.vm == heartbeat.vm &&
         known->second.notice.fencing_token == it.fencing_token);
    if (!MayBeKnown(it.service) || !IsInForce(it, is_direct)) {
      continue;
    }
    PeerHold& hold = peer_holds_[it.service];
    if (hold.has_ended || (is_direct && hold.notice != it)) {
      // The holder orders anew under its token.
      progress_[it.service].peer_order.reset();
    }
    const bool is_relay_of_known =
        !is_direct && hold.is_direct &&
        hold.notice.fencing_token == it.fencing_token;
    hold.notice = it;
    if (!is_relay_of_known) {
      hold = {.vm = heartbeat.vm,
              .notice = it,
              .is_direct = is_direct,
              .has_ended = false,
              .heard_at = now,
              .open_until = now + kLostPromotionRetention,
              .config_version = heartbeat.config_version};
    }
    delegate_.HoldCommits(it.service, it.successor);
    RecordPeerOrder(it.service, it.successor, it.fencing_token);
    if (!progress_[it.service].running) {
      // That VM relies on its pauses. They may have the term of earlier ones
      // of this VM.
      resumer_.Cancel(ListEndpoints(it.service));
    }
  }
  for (auto& [service, hold] : peer_holds_) {
    if (IsEndedBy(heartbeat, hold)) {
      hold.has_ended = true;
      if (hold.is_direct) {
        ForgetPeerOrder(hold.notice);
      }
      if (!progress_[service].hold) {
        delegate_.ReleaseCommits(service);
      }
    }
  }
  // Relays of a hold that its holder has ended have to be recognized.
  std::erase_if(peer_holds_, [](const auto& row) {
    return row.second.has_ended && !row.second.is_direct;
  });
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
bool FailoverControl<S, R, C, P, T>::HoldsDuty(const Heartbeat& heartbeat,
                                               const ServiceId& service,
                                               uint64_t fencing_token) {
  return std::any_of(heartbeat.duties.begin(), heartbeat.duties.end(),
                     [&](const HeldDuty& it) {
                       return it.service == service &&
                              it.fencing_token >= fencing_token;
                     });
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
bool FailoverControl<S, R, C, P, T>::IsInForce(const ReplacementNotice& notice,
                                               bool is_direct) {
  const auto known = peer_holds_.find(notice.service);
  const PeerHold* hold = known == peer_holds_.end() ? nullptr : &known->second;
  const uint64_t token = notice.fencing_token;
  if (token < std::max(claims_.GetToken(notice.service),
                       FindPeerToken(notice.service)) ||
      (hold != nullptr && token < hold->notice.fencing_token)) {
    return false;
  }
  if (is_direct) {
    return true;
  }
  if (token <= progress_[notice.service].latest_hold_token) {
    // It is a hold of this VM.
    return false;
  }
  // A relay may be older than what the holder has announced.
  return hold == nullptr || !hold->is_direct ||
         token > hold->notice.fencing_token ||
         (!hold->has_ended && hold->notice.successor.IsEmpty());
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
bool FailoverControl<S, R, C, P, T>::IsEndedBy(const Heartbeat& heartbeat,
                                               PeerHold& hold) {
  const ReplacementNotice& notice = hold.notice;
  if (hold.vm != heartbeat.vm || hold.has_ended ||
      std::any_of(heartbeat.replacements.begin(), heartbeat.replacements.end(),
                  [&](const ReplacementNotice& it) {
                    return it.service == notice.service;
                  })) {
    return false;
  }
  if (!hold.is_direct && heartbeat.config_version < hold.config_version) {
    // The VM that relayed it has started anew, and has yet to be told.
    hold.vm = {};
    return false;
  }
  if (!HoldsDuty(heartbeat, notice.service, notice.fencing_token)) {
    // The VM may have started anew, and does not know of its order then.
    if (const auto& order = progress_[notice.service].peer_order) {
      hold.open_until =
          std::min(hold.open_until, order->heard_at + kLostPromotionRetention);
    }
    return FindOpenPeerHold(notice.service, delegate_.Now()) == nullptr;
  }
  return true;
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
const PeerHold* FailoverControl<S, R, C, P, T>::FindOpenPeerHold(
    const ServiceId& service,
    TimePoint now) {
  const auto it = peer_holds_.find(service);
  const std::optional<PeerOrder>& order = progress_[service].peer_order;
  if (it == peer_holds_.end() || !order || order->endpoint.IsEmpty()) {
    return nullptr;
  }
  const PeerHold& hold = it->second;
  const ReplacementNotice& notice = hold.notice;
  if (!hold.is_direct || hold.has_ended ||
      notice.successor != order->endpoint ||
      notice.fencing_token != order->fencing_token || now >= hold.open_until) {
    return nullptr;
  }
  // An order that was accepted before another VM took over still takes effect.
  const bool is_superseded =
      std::max(claims_.GetToken(service), FindPeerToken(service)) >
      notice.fencing_token;
  return is_superseded && now - hold.heard_at >= kPromotionTimeout ? nullptr
                                                                   : &hold;
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_HOLDS_H_
