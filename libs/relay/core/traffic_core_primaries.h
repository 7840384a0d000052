#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_PRIMARIES_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_PRIMARIES_H_

// Which endpoint is presumably the primary, and what follows from a change.
// Included by traffic_core.h.

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
const EndpointId* TrafficCore<D, N>::GetPresumedPrimary(
    const ServiceState& service) const {
  const TimePoint now = net_.Now();
  return service.commit_hold.IsInForce(now)
             ? service.commit_hold.GetSuccessor(now)
             : service.primary_tracker.GetPrimary();
}

template <ForwardingDialect D, class N>
EndpointPool* TrafficCore<D, N>::FindPrimaryPool(const ServiceState& service) {
  const EndpointId* primary = GetPresumedPrimary(service);
  return primary == nullptr ? nullptr : FindPool(*primary);
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::IsPrimary(const EndpointPool& pool) {
  const EndpointId* primary =
      GetPresumedPrimary(GetService(pool.entry.service));
  return primary != nullptr && *primary == pool.entry.id;
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::TakesNewStatements(const EndpointPool& pool) {
  if (pool.removed) {
    return false;
  }
  return !pool.entry.draining ||
         (IsPrimary(pool) &&
          !pool.HasDrained(options_.max_draining_use, net_.Now()));
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandlePrimaryConfirmed(EndpointPool& pool,
                                               TimePoint requested_at,
                                               LogPoint point) {
  ServiceState& service = GetService(pool.entry.service);
  if (point.term < service.primary_tracker.GetTerm()) {
    return;
  }
  service.bounds.Record(requested_at, point);
  if (const auto finding = service.commit_losses.RecordPrimary(point)) {
    LogPrimaryChange(pool, *finding);
  }
  const bool is_new_term = point.term > service.primary_tracker.GetTerm();
  const TimePoint now = net_.Now();
  const auto ended_hold =
      service.commit_hold.RecordConfirmed(pool.entry.id, point.term, now);
  if (ended_hold) {
    LogCommitHoldEnd(pool.entry.service, *ended_hold, "proof");
  }
  const bool changed =
      service.primary_tracker.RecordConfirmed(pool.entry.id, point.term, now);
  if (changed) {
    LogEvent(Event::kPrimaryConfirmed,
             {{"service", pool.entry.service.value},
              {"endpoint", pool.entry.id.value},
              {"term", std::to_string(point.term.value)}});
  }
  if (changed || ended_hold) {
    HandlePrimaryChange(service);
  }
  if (is_new_term) {
    net_.OnPrimaryConfirmed(pool.entry.id, point.term);
  }
  if (!service.pending_bound_queries.empty()) {
    ReplyToBoundQueries(pool.entry.service, service);
  }
  if (!service.reads_awaiting_bound.empty()) {
    DispatchReadsAwaitingBound(service);
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::LogPrimaryChange(
    const EndpointPool& pool,
    const CommitLossDetector::Finding& finding) {
  if (finding.is_loss) {
    ++counters_.commit_losses;
  }
  const auto format = [](const std::optional<LogPoint>& point) {
    return point ? FormatLogPoint(*point) : std::string("none");
  };
  const ServiceState& service = GetService(pool.entry.service);
  const std::optional<TimedEndpoint>& answered = service.last_answered_commit;
  const std::optional<TimedEndpoint>& ordered = service.last_ordered_promotion;
  const auto get_age_ms = [this](const std::optional<TimedEndpoint>& it) {
    return it ? std::to_string((net_.Now() - it->at).count() / 1000)
              : std::string("none");
  };
  LogEvent(finding.is_loss ? Event::kCommitsLost : Event::kPrimaryChanged,
           {{"service", pool.entry.service.value},
            {"endpoint", pool.entry.id.value},
            {"term", std::to_string(finding.first_seen.term.value)},
            {"first_seen", FormatLogPoint(finding.first_seen)},
            {"last_answered", format(finding.last_answered)},
            {"proven", format(finding.proven)},
            {"sync_replicas", std::to_string(service.rules.sync_replicas)},
            {"answered_by", answered ? answered->endpoint.value : "none"},
            {"answered_ms", get_age_ms(answered)},
            {"ordered", ordered ? ordered->endpoint.value : "none"},
            {"ordered_ms", get_age_ms(ordered)}});
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandlePrimaryChange(ServiceState& service) {
  std::vector<QueuedStatement> moved(
      service.statements_awaiting_primary.begin(),
      service.statements_awaiting_primary.end());
  if (EndpointPool* primary = FindPrimaryPool(service);
      primary != nullptr && TakesNewStatements(*primary)) {
    service.statements_awaiting_primary.clear();
  } else {
    moved.clear();
  }
  for (const EndpointId& id : service.endpoints) {
    EndpointPool* pool = FindPool(id);
    if (pool == nullptr || IsPrimary(*pool)) {
      continue;
    }
    const std::deque<QueuedStatement> queue = pool->queue;
    for (const QueuedStatement& it : queue) {
      const CallerSession* session = FindSession(it.session);
      if (session != nullptr &&
          RequiresPrimary(session->statement.requirement)) {
        pool->Remove(it.statement_id);
        moved.push_back(it);
      }
    }
  }
  for (const QueuedStatement& it : moved) {
    if (!IsInProgress(it.session, it.statement_id)) {
      continue;
    }
    CallerSession& session = *FindSession(it.session);
    if (session.is_forwarded) {
      FailStatement(session, StatementError::kNotPrimary,
                    "another endpoint is the primary");
    } else {
      Dispatch(session);
    }
  }
  EndpointPool* pool = FindPrimaryPool(service);
  if (pool == nullptr) {
    return;
  }
  const std::vector<uint64_t> ids = pool->connections;
  for (const uint64_t it : ids) {
    PooledConnection* connection = FindConnection(it);
    if (connection != nullptr && connection->state == ConnectionState::kIdle &&
        connection->status == TransactionStatus::kIdle) {
      ReturnToPool(*connection);
    }
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleNotPrimary(EndpointPool& pool) {
  const TimePoint now = net_.Now();
  if (GetService(pool.entry.service)
          .primary_tracker.RecordNotPrimary(pool.entry.id, now)) {
    net_.Report({pool.entry.id, EndpointCondition::kRefusedAsReplica});
    ScheduleTimer(
        {now + kPrimaryReviewInterval, TimerKind::kPrimaryReview, 0, 0, {}});
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::AnnouncePrimary(const ServiceId& service,
                                        const EndpointId& endpoint) {
  ServiceState& state = GetService(service);
  state.last_ordered_promotion = {endpoint, net_.Now()};
  if (state.primary_tracker.RecordAnnouncedPromotion(endpoint, net_.Now())) {
    HandlePrimaryChange(state);
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_PRIMARIES_H_
