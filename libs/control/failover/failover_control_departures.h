#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_DEPARTURES_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_DEPARTURES_H_

// Methods of FailoverControl that account for replicas that have left. Included
// by failover_control.h.

#include <algorithm>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control/failover/failover_control.h"

namespace magnoliareel {

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
std::vector<EndpointId> FailoverControl<S, R, C, P, T>::ListBlockingDepartures(
    const ServiceId& service) const {
  std::vector<EndpointId> list = departures_.ListUnaccounted(service);
  if (!list.empty()) {
    std::erase_if(list, [this](const EndpointId& it) {
      return primaries_.IsLatestConfirmed(it);
    });
  }
  return list;
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
bool FailoverControl<S, R, C, P, T>::MayOrderTakeEffect(
    const Progress& progress,
    TimePoint now) {
  const std::optional<PeerOrder>& other = progress.peer_order;
  const bool is_pending =
      !progress.pending_promotion.IsEmpty() && now < progress.pending_until;
  const bool is_other_open = other && !other->endpoint.IsEmpty() &&
                             now - other->heard_at < kLostPromotionRetention;
  const bool is_inherited =
      progress.inherited &&
      now - progress.inherited->claimed_at < kPromotionTimeout;
  return IsOrderOpen(progress, now) || is_pending || is_other_open ||
         is_inherited;
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
bool FailoverControl<S, R, C, P, T>::IsOneMemberMissing(
    const ServiceId& service,
    TimePoint now) {
  const Progress& progress = progress_[service];
  const auto former = primaries_.GetLatestConfirmed(service);
  const std::vector<EndpointId> departed = ListBlockingDepartures(service);
  // The latest confirmed primary is a member, too.
  if (departed.empty() || delegate_.IsListed(departed.front()) || !former ||
      FindEndpoint(former->endpoint) == nullptr ||
      MayOrderTakeEffect(progress, now)) {
    return false;
  }
  // An endpoint that joined before is listed after this time.
  const auto departed_at = departures_.GetDepartureTime(departed.front());
  if (!departed_at || now - *departed_at < kMembershipDelay) {
    return false;
  }
  const std::vector<EndpointId> missing =
      departures_.ListUnaccountedSince(service, progress.ordered_at);
  return std::all_of(missing.begin(), missing.end(), [&](const auto& it) {
    return it == departed.front() || it == former->endpoint;
  });
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::AuditDepartures(
    const ServiceId& service,
    std::span<const EndpointId> departed,
    TimePoint now) {
  Progress& progress = progress_[service];
  if (progress.running || now < progress.next_audit_at ||
      std::exchange(progress.auditing, true)) {
    return;
  }
  const auto primary = primaries_.GetLatestConfirmed(service);
  std::make_shared<DepartureAudit<C>>(
      commands_, ListEndpoints(service), primary ? primary->term : Term{},
      [this, service, departed = std::vector(departed.begin(), departed.end())](
          const DepartureAuditResult& result) {
        HandleAuditResult(service, departed, result);
      })
      ->Start();
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::HandleAuditResult(
    const ServiceId& service,
    std::span<const EndpointId> departed,
    const DepartureAuditResult& result) {
  const TimePoint now = delegate_.Now();
  Progress& progress = progress_[service];
  progress.auditing = false;
  progress.next_audit_at = now + kDepartureAuditInterval;
  if (result.primary) {
    const bool is_known = primaries_.IsPrimary(*result.primary);
    primaries_.RecordConfirmed(service, *result.primary, result.term);
    if (!is_known) {
      delegate_.AnnouncePrimary(service, *result.primary);
    }
  }
  std::vector<EndpointId> accounted;
  std::vector<EndpointId> waiting;
  for (const EndpointId& it : departed) {
    const bool is_accounted =
        result.accounted || (result.former_primaries_accounted &&
                             departures_.LedUntilDeparture(it));
    (is_accounted ? accounted : waiting).push_back(it);
  }
  const std::string_view failure =
      waiting.empty() ? std::string_view() : result.reason;
  if (const std::string_view previous =
          std::exchange(progress.audit_failure, failure);
      !failure.empty() && failure != previous) {
    LogEvent(Event::kReplacementWaiting, {{"service", service.value},
                                          {"departed", JoinIds(waiting)},
                                          {"reason", std::string(failure)}});
  }
  if (!accounted.empty()) {
    LogEvent(Event::kDepartureAccounted,
             {{"service", service.value}, {"departed", JoinIds(accounted)}});
    departures_.RecordAccounted(accounted, now);
    delegate_.SendHeartbeats();
    Review();
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_DEPARTURES_H_
