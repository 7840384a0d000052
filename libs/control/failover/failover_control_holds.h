#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_HOLDS_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_HOLDS_H_

// Methods of FailoverControl that keep all VMs from sending commits to a
// primary that is being replaced. Included by failover_control.h.

#include <algorithm>

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
    if (it == peer_holds_.end() ||
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
    return false;
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
  for (const ReplacementNotice& it : heartbeat.replacements) {
    const auto known = peer_holds_.find(it.service);
    const uint64_t newest = std::max(
        {claims_.GetToken(it.service), FindPeerToken(it.service),
         known == peer_holds_.end() ? 0 : known->second.notice.fencing_token});
    if (IsKnown(it.service) && it.fencing_token >= newest) {
      peer_holds_[it.service] = {heartbeat.vm, it};
      delegate_.HoldCommits(it.service, it.successor);
      RecordPeerOrder(it.service, it.successor, it.fencing_token);
      if (!progress_[it.service].running) {
        // That VM relies on its pauses. They may have the term of earlier ones
        // of this VM.
        resumer_.Cancel(ListEndpoints(it.service));
      }
    }
  }
  std::erase_if(peer_holds_, [&](const auto& row) {
    const ServiceId& service = row.first;
    const bool has_ended =
        row.second.vm == heartbeat.vm &&
        std::none_of(
            heartbeat.replacements.begin(), heartbeat.replacements.end(),
            [&](const ReplacementNotice& it) { return it.service == service; });
    if (has_ended && !progress_[service].hold) {
      delegate_.ReleaseCommits(service);
    }
    return has_ended;
  });
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_HOLDS_H_
