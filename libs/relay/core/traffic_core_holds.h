#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_HOLDS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_HOLDS_H_

// Writes and commits that are held back while a primary is being replaced.
// Included by traffic_core.h.

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HoldCommits(const ServiceId& id,
                                    const EndpointId& successor) {
  ServiceState& service = GetService(id);
  const TimePoint now = net_.Now();
  const bool continues = service.commit_hold.IsInForce(now);
  if (!service.commit_hold.Begin(successor, FindNewestTerm(service), now)) {
    return;
  }
  LogEvent(Event::kCommitHoldChanged,
           {{"service", id.value},
            {"successor", successor.IsEmpty() ? "none" : successor.value},
            {"state", continues ? "successor_changed" : "begun"}});
  if (!continues) {
    ScheduleTimer(
        {service.commit_hold.GetEnd(), TimerKind::kCommitHoldEnd, 0, 0, {}});
  }
  HandlePrimaryChange(service);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::ReleaseCommits(const ServiceId& id) {
  ServiceState& service = GetService(id);
  if (const auto ended = service.commit_hold.Release(net_.Now())) {
    LogCommitHoldEnd(id, *ended, "release");
    HandlePrimaryChange(service);
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::EndExpiredCommitHolds() {
  const TimePoint now = net_.Now();
  std::optional<TimePoint> next;
  for (auto& [id, service] : services_) {
    if (service.commit_hold.IsInForce(now)) {
      const TimePoint end = service.commit_hold.GetEnd();
      next = next ? std::min(*next, end) : end;
    } else if (const auto ended = service.commit_hold.TakeExpired(now)) {
      LogCommitHoldEnd(id, *ended, "period");
      HandlePrimaryChange(service);
    }
  }
  if (next) {
    ScheduleTimer({*next, TimerKind::kCommitHoldEnd, 0, 0, {}});
  }
}

template <ForwardingDialect D, class N>
Term TrafficCore<D, N>::FindNewestTerm(const ServiceState& service) {
  Term newest = service.primary_tracker.GetTerm();
  for (const EndpointId& it : service.endpoints) {
    if (const EndpointPool* pool = FindPool(it)) {
      newest = std::max(newest, pool->GetAppliedPoint().term);
    }
  }
  return newest;
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::IsHeldBack(const CallerSession& session,
                                   const EndpointId& endpoint) {
  const ActiveStatement& statement = session.statement;
  const bool in_transaction =
      statement.requirement == EndpointRequirement::kOpenTransaction;
  const bool may_commit =
      statement.writes ||
      (statement.kind == StatementKind::kCommit && session.transaction_wrote);
  // What the former primary shows to a read that requires the primary may be
  // lost, like what it commits.
  const bool is_affected =
      in_transaction ? may_commit : RequiresPrimary(statement.requirement);
  return is_affected && GetService(session.route->service)
                            .commit_hold.Excludes(endpoint, net_.Now());
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::AbortHeldBackTransaction(CallerSession& session,
                                                 PooledConnection& connection) {
  ++counters_.commits_held;
  AbortTransaction(session, connection, "primary_replaced",
                   "the primary is being replaced");
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::AbortTransaction(CallerSession& session,
                                         PooledConnection& connection,
                                         std::string_view cause,
                                         std::string_view reason) {
  LogEvent(Event::kTransactionRolledBack,
           {{"transaction", std::to_string(session.connection)},
            {"reason", std::string(cause)}});
  session.connection = 0;
  ReturnToPool(connection);
  FailStatement(session, StatementError::kAborted, reason);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::LogCommitHoldEnd(const ServiceId& id,
                                         const CommitHold::Ended& hold,
                                         std::string_view reason) {
  LogEvent(
      Event::kCommitHoldChanged,
      {{"service", id.value},
       {"successor", hold.successor.IsEmpty() ? "none" : hold.successor.value},
       {"state", "ended"},
       {"reason", std::string(reason)},
       {"held_ms", std::to_string((net_.Now() - hold.began).count() / 1000)}});
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_HOLDS_H_
