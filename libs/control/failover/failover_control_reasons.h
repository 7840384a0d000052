#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_REASONS_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_REASONS_H_

// Methods of FailoverControl that decide whether a primary is replaced.
// Included by failover_control.h.

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "control/failover/failover_control.h"

namespace magnoliareel {

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
uint32_t FailoverControl<S, R, C, P, T>::CountVantagePoints(
    const EndpointId& endpoint,
    EndpointCondition& condition) const {
  uint32_t n = 0;
  if (const auto own = detector_.Get(endpoint)) {
    condition = *own;
    ++n;
  }
  std::optional<size_t> counted_peer;
  for (const auto& [peer, it] : peer_suspicions_) {
    if (it.endpoint == endpoint && counted_peer != peer) {
      condition = it.condition;
      counted_peer = peer;
      ++n;
    }
  }
  return n;
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
std::string FailoverControl<S, R, C, P, T>::ListSuspectingVms(
    const EndpointId& endpoint) const {
  std::string text;
  const auto add = [&text](const VmId& vm, EndpointCondition condition) {
    text += (text.empty() ? "" : ",") + vm.value + ":" +
            std::string(GetConditionName(condition));
  };
  if (const auto own = detector_.Get(endpoint)) {
    add(self_, *own);
  }
  for (const PeerGroup::Peer* peer : peers_.ListLive()) {
    for (const ConditionReport& it : peer->last.suspicions) {
      if (it.endpoint == endpoint) {
        add(peer->last.vm, it.condition);
      }
    }
  }
  return text.empty() ? "none" : text;
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
bool FailoverControl<S, R, C, P, T>::IsReportedStalled(
    const EndpointId& endpoint) const {
  return detector_.Get(endpoint) == EndpointCondition::kCommitsStalled ||
         std::any_of(peer_suspicions_.begin(), peer_suspicions_.end(),
                     [&](const auto& row) {
                       return row.second.endpoint == endpoint &&
                              row.second.condition ==
                                  EndpointCondition::kCommitsStalled;
                     });
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
std::optional<ReplacementReason> FailoverControl<S, R, C, P, T>::FindReason(
    const ServiceId& service,
    TimePoint now) {
  const auto primary = primaries_.Get(service, now);
  if (!primary) {
    return std::nullopt;
  }
  if (primary->gone) {
    return ReplacementReason::kGone;
  }
  if (primary->promotion_failed) {
    return ReplacementReason::kGone;
  }
  const EndpointEntry* entry = FindEndpoint(primary->endpoint);
  if (entry == nullptr) {
    return std::nullopt;
  }
  const Progress& progress = progress_[service];
  if (primary->demoted || (progress.awaits_promotion &&
                           progress.demoted_primary.id == primary->endpoint)) {
    return ReplacementReason::kDemoted;
  }
  if (entry->draining) {
    return ReplacementReason::kDraining;
  }
  EndpointCondition condition = EndpointCondition::kAnswering;
  const uint32_t votes = CountVantagePoints(primary->endpoint, condition);
  const uint32_t live = peers_.CountLive();
  // The quorum is a third of the VMs: a primary that so many cannot use costs
  // more than the write gap of a promotion. At least two VMs must agree if more
  // than one is live, as a single VM may itself be partitioned.
  const uint32_t needed = live == 1 ? 1 : std::max(2U, (live + 2) / 3);
  // Logs the first suspicion, the moment when the quorum is reached, and the
  // end of the suspicion.
  const uint32_t level = votes == 0 ? 0 : votes < needed ? 1 : 2;
  if (level != std::exchange(last_levels_[primary->endpoint], level)) {
    LogEvent(Event::kPrimarySuspected,
             {{"service", service.value},
              {"endpoint", primary->endpoint.value},
              {"condition", std::string(GetConditionName(condition))},
              {"vantage_points", std::to_string(votes)},
              {"live", std::to_string(live)},
              {"known", std::to_string(peers_.CountKnown())},
              {"suspecting", ListSuspectingVms(primary->endpoint)}});
  }
  if (votes < needed) {
    return std::nullopt;
  }
  return condition == EndpointCondition::kCommitsStalled
             ? ReplacementReason::kCommitsStalled
             : ReplacementReason::kUnreachable;
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
bool FailoverControl<S, R, C, P, T>::MayGainReplica(
    const ServiceId& service,
    const EndpointId& primary) const {
  const bool is_member_leaving =
      std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& it) {
        return it.service == service && it.id != primary && it.draining;
      });
  return is_member_leaving ||
         vacancies_.HasVacancy(service, primary, delegate_.Now());
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_REASONS_H_
