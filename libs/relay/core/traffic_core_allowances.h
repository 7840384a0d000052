#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_ALLOWANCES_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_ALLOWANCES_H_

// Permits of teams that have a limit. Included by traffic_core.h.

#include <algorithm>
#include <span>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::ChargeOperation(CallerSession& session) {
  // The VM of the caller has charged a statement that it forwards.
  if (session.is_forwarded || session.team.IsEmpty() ||
      session.transaction == TransactionPhase::kOpen) {
    return true;
  }
  if (session.transaction == TransactionPhase::kDeferred &&
      std::exchange(session.transaction_charged, true)) {
    return true;
  }
  ActiveStatement& statement = session.statement;
  const TimePoint now = net_.Now();
  const DatabaseRoute& route = *session.route;
  const Duration wait =
      std::min(route.latency_objective, route.statement_timeout) /
      kPermitWaitDivisor;
  const PermitDecision decision =
      allowances_.Take(session.team, statement.id, now + wait, now);
  switch (decision.result) {
    case PermitResult::kGranted:
      statement.permit_expires_at = decision.expires_at;
      return true;
    case PermitResult::kWait:
      statement.awaits_permit = true;
      sessions_awaiting_permit_.emplace(statement.id, session.id);
      return false;
    case PermitResult::kRefused:
      RefuseWithoutPermit(session);
      return false;
  }
  return false;
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::RenewPermit(CallerSession& session) {
  ActiveStatement& statement = session.statement;
  const TimePoint now = net_.Now();
  if (now < statement.permit_expires_at || statement.sent_at != TimePoint{}) {
    return true;
  }
  const PermitDecision decision = allowances_.TakeAgain(session.team, now);
  if (decision.result != PermitResult::kGranted) {
    RefuseWithoutPermit(session);
    return false;
  }
  statement.permit_expires_at = decision.expires_at;
  return true;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::CancelPermit(CallerSession& session) {
  if (!std::exchange(session.statement.awaits_permit, false)) {
    return;
  }
  sessions_awaiting_permit_.erase(session.statement.id);
  allowances_.Cancel(session.team, session.statement.id);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RefuseWithoutPermit(CallerSession& session) {
  ++counters_.refused_without_permit;
  FailStatement(session, StatementError::kBusy, "no permit for the team");
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::OnPermitGranted(uint64_t operation,
                                        TimePoint expires_at) {
  const auto row = sessions_awaiting_permit_.extract(operation);
  if (row.empty() || !IsInProgress(row.mapped(), operation)) {
    return;
  }
  CallerSession& session = *FindSession(row.mapped());
  session.statement.awaits_permit = false;
  session.statement.permit_expires_at = expires_at;
  Dispatch(session);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::OnPermitRefused(uint64_t operation) {
  const auto row = sessions_awaiting_permit_.extract(operation);
  if (row.empty() || !IsInProgress(row.mapped(), operation)) {
    return;
  }
  CallerSession& session = *FindSession(row.mapped());
  session.statement.awaits_permit = false;
  RefuseWithoutPermit(session);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::WakeForPermits(TimePoint at) {
  if (permit_wake_at_ && *permit_wake_at_ <= at) {
    return;
  }
  permit_wake_at_ = at;
  ScheduleTimer({at, TimerKind::kPermitWake, 0, 0, {}});
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::ApplySlots(const SlotAssignment* assignment,
                                   TimePoint valid_until) {
  allowances_.ApplySlots(assignment, valid_until, net_.Now());
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::ApplyLenders(std::span<const PermitLender> lenders) {
  allowances_.ApplyLenders(lenders);
}

template <ForwardingDialect D, class N>
PermitGrant TrafficCore<D, N>::HandlePermitRequest(
    const PermitRequest& request) {
  return allowances_.HandleRequest(request, net_.Now());
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandlePermitGrant(const VmId& from,
                                          const PermitGrant& grant) {
  allowances_.HandleGrant(from, grant, net_.Now());
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_ALLOWANCES_H_
