#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_TIMERS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_TIMERS_H_

// Timers. Included by traffic_core.h.

#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::ScheduleTimer(Timer timer) {
  const bool first = timers_.empty() || timer.at < timers_.top().at;
  const TimePoint at = timer.at;
  timers_.push(std::move(timer));
  if (first) {
    net_.Wake(at);
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleWake() {
  const TimePoint now = net_.Now();
  while (!timers_.empty() && timers_.top().at <= now) {
    const Timer timer = timers_.top();
    timers_.pop();
    HandleTimer(timer);
  }
  // Obsolete timers need no wake-up.
  while (!timers_.empty() && IsObsolete(timers_.top())) {
    timers_.pop();
  }
  if (!timers_.empty()) {
    net_.Wake(timers_.top().at);
  }
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::IsObsolete(const Timer& timer) {
  switch (timer.kind) {
    case TimerKind::kStatementDeadline:
    case TimerKind::kSlowStatement:
    case TimerKind::kStatementRetry:
      return !IsInProgress(timer.subject, timer.statement_id);
    case TimerKind::kReturnTimeout: {
      const PooledConnection* it = FindConnection(timer.subject);
      return it == nullptr || it->state != ConnectionState::kReturning ||
             it->returning_since + kAbandonedTimeout != timer.at;
    }
    case TimerKind::kConnectTimeout: {
      const PooledConnection* it = FindConnection(timer.subject);
      return it == nullptr || it->state != ConnectionState::kOpening;
    }
    case TimerKind::kAbandonedTimeout: {
      const PooledConnection* it = FindConnection(timer.subject);
      return it == nullptr || it->state != ConnectionState::kAbandoned;
    }
    case TimerKind::kTransactionIdle:
    case TimerKind::kPoolRetry:
    case TimerKind::kIdleCheck:
    case TimerKind::kPrimaryReview:
    case TimerKind::kPeerBoundTimeout:
    case TimerKind::kDrainingUseLimit:
    case TimerKind::kCommitHoldEnd:
    case TimerKind::kDrain:
      return false;
    case TimerKind::kPermitWake:
      return permit_wake_at_ != timer.at;
  }
  return false;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleTimer(const Timer& timer) {
  switch (timer.kind) {
    case TimerKind::kStatementDeadline:
      if (IsInProgress(timer.subject, timer.statement_id)) {
        HandleDeadline(*FindSession(timer.subject));
      }
      return;
    case TimerKind::kSlowStatement:
      if (IsInProgress(timer.subject, timer.statement_id)) {
        HandleSlowStatement(*FindSession(timer.subject));
      }
      return;
    case TimerKind::kStatementRetry:
      if (IsInProgress(timer.subject, timer.statement_id)) {
        CallerSession& session = *FindSession(timer.subject);
        // A read whose wait for a freshness bound ended early may run already.
        if (session.statement.IsUnassigned()) {
          Dispatch(session);
        }
      }
      return;
    case TimerKind::kConnectTimeout:
      if (const PooledConnection* it = FindConnection(timer.subject);
          it != nullptr && it->state == ConnectionState::kOpening) {
        HandleConnectTimeout(*it);
      }
      return;
    case TimerKind::kAbandonedTimeout:
      if (const PooledConnection* it = FindConnection(timer.subject);
          it != nullptr && it->state == ConnectionState::kAbandoned) {
        CloseAndStartQueued(*it);
      }
      return;
    case TimerKind::kReturnTimeout:
      // The replies on this connection are lost; the endpoint may be healthy.
      if (const PooledConnection* it = FindConnection(timer.subject);
          it != nullptr && it->state == ConnectionState::kReturning &&
          net_.Now() - it->returning_since >= kAbandonedTimeout) {
        CloseAndStartQueued(*it);
      }
      return;
    case TimerKind::kTransactionIdle:
      if (CallerSession* it = FindSession(timer.subject);
          it != nullptr && it->transaction == TransactionPhase::kOpen &&
          !it->IsBusy() && it->last_statement_id == timer.statement_id) {
        HandleIdleTransaction(*it);
      }
      return;
    case TimerKind::kPoolRetry:
      if (EndpointPool* pool = FindPool(timer.endpoint)) {
        StartQueued(*pool);
        if (!pool->queue.empty() && pool->connections.empty()) {
          ScheduleTimer({net_.Now() + kConnectTimeout / 4,
                         TimerKind::kPoolRetry, 0, 0, timer.endpoint});
        }
      }
      return;
    case TimerKind::kIdleCheck:
      if (EndpointPool* pool = FindPool(timer.endpoint)) {
        CloseIdleConnections(*pool);
      }
      return;
    case TimerKind::kPrimaryReview:
      ReviewPrimaries();
      return;
    case TimerKind::kPeerBoundTimeout:
      if (const EndpointPool* pool = FindPool(timer.endpoint);
          pool != nullptr &&
          !GetService(pool->entry.service).reads_awaiting_bound.empty()) {
        // The other VM has not replied, or its bound was too old.
        RequestPrimaryBound(pool->entry.service);
      }
      return;
    case TimerKind::kDrainingUseLimit:
      if (EndpointPool* pool = FindPool(timer.endpoint)) {
        HandleDrainingUseLimit(*pool);
      }
      return;
    case TimerKind::kCommitHoldEnd:
      EndExpiredCommitHolds();
      return;
    case TimerKind::kDrain:
      HandleDrain();
      return;
    case TimerKind::kPermitWake:
      if (permit_wake_at_ == timer.at) {
        permit_wake_at_.reset();
        allowances_.HandleWake(net_.Now());
      }
      return;
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleConnectTimeout(
    const PooledConnection& connection) {
  const EndpointId endpoint = connection.endpoint;
  const VmId holder = connection.holder;
  CloseEndpointConnection(connection.id);
  EndpointPool* pool = FindPool(endpoint);
  if (pool == nullptr) {
    return;
  }
  if (holder.IsEmpty()) {
    HandleEndpointFailure(*pool, EndpointCondition::kUnreachable);
  } else {
    RecordHolderFailure(holder, "no session within the timeout");
  }
  StartQueued(*pool);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::CloseAndStartQueued(
    const PooledConnection& connection) {
  const EndpointId endpoint = connection.endpoint;
  CloseEndpointConnection(connection.id);
  if (EndpointPool* pool = FindPool(endpoint)) {
    StartQueued(*pool);
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleDeadline(CallerSession& session) {
  ActiveStatement& statement = session.statement;
  bool sent = false;
  for (const uint64_t it : statement.connections) {
    const PooledConnection* connection = FindConnection(it);
    if (connection == nullptr ||
        connection->state != ConnectionState::kRunning) {
      continue;
    }
    sent = true;
    // One that was sent shortly before its deadline waited here.
    if (net_.Now() - statement.sent_at >= kSlowStatementThreshold) {
      RecordPlacementFailure(connection->endpoint);
    }
  }
  if (!sent && statement.requirement == EndpointRequirement::kOpenTransaction &&
      !statement.connections.empty()) {
    // It waits for session values. Closing the connection rolls back.
    statement.connections.clear();
    CloseEndpointConnection(std::exchange(session.connection, 0));
    FailStatement(session, StatementError::kAborted,
                  "not run within the statement timeout");
    return;
  }
  if (!sent) {
    FailStatement(session, StatementError::kBusy,
                  "not run within the statement timeout");
    return;
  }
  const bool commits = statement.kind == StatementKind::kCommit;
  if (statement.requirement == EndpointRequirement::kOpenTransaction) {
    const uint64_t connection = std::exchange(session.connection, 0);
    const bool unknown = commits && session.transaction_wrote;
    statement.connections.clear();
    if (commits) {
      // The commit may still succeed; its reply is not needed.
      Abandon(connection);
    } else {
      CloseEndpointConnection(connection);
    }
    FailStatement(session,
                  unknown ? StatementError::kUnknown : StatementError::kAborted,
                  "no answer within the statement timeout");
    return;
  }
  if (statement.IsAutocommitWrite()) {
    FailStatement(session, StatementError::kUnknown,
                  "no answer within the statement timeout");
    return;
  }
  if (statement.IsAutocommitRead()) {
    FailStatement(session, StatementError::kTimedOut,
                  "no answer within the statement timeout");
    return;
  }
  // The first statement of a transaction: closing the connection rolls it back.
  const std::vector<uint64_t> connections = std::move(statement.connections);
  statement.connections.clear();
  for (const uint64_t it : connections) {
    CloseEndpointConnection(it);
  }
  FailStatement(session, StatementError::kAborted,
                "no answer within the statement timeout");
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleIdleTransaction(CallerSession& session) {
  LogEvent(Event::kTransactionRolledBack,
           {{"transaction", std::to_string(session.connection)},
            {"reason", "idle"}});
  if (PooledConnection* connection =
          FindConnection(std::exchange(session.connection, 0))) {
    ReturnToPool(*connection);
  }
  session.transaction = TransactionPhase::kLost;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleDrainingUseLimit(EndpointPool& pool) {
  if (pool.removed || !IsPrimary(pool) ||
      !pool.HasDrained(options_.max_draining_use, net_.Now())) {
    return;
  }
  LogEvent(Event::kPrimaryDrained,
           {{"service", pool.entry.service.value},
            {"endpoint", pool.entry.id.value},
            {"queued", std::to_string(pool.queue.size())}});
  DispatchQueueAgain(pool);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::ReviewPrimaries() {
  const TimePoint now = net_.Now();
  bool waiting = false;
  for (auto& [id, service] : services_) {
    if (service.primary_tracker.GetPrimary() != nullptr &&
        service.statements_awaiting_primary.empty()) {
      continue;
    }
    std::vector<const EndpointEntry*> entries;
    for (const EndpointId& endpoint : service.endpoints) {
      if (const EndpointPool* pool = FindPool(endpoint)) {
        entries.push_back(&pool->entry);
      }
    }
    service.primary_tracker.UpdateFromDirectory(entries, now);
    if (const EndpointPool* pool = FindPrimaryPool(service);
        pool != nullptr && TakesNewStatements(*pool)) {
      HandlePrimaryChange(service);
    }
    waiting = waiting || !service.statements_awaiting_primary.empty();
  }
  if (waiting) {
    ScheduleTimer(
        {now + kPrimaryReviewInterval, TimerKind::kPrimaryReview, 0, 0, {}});
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_TIMERS_H_
