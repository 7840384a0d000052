#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_TIMERS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_TIMERS_H_

// What is due. Included by traffic_core.h.

#include <algorithm>
#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <WireDialect D, class N>
void TrafficCore<D, N>::ScheduleTimer(Due due) {
  const bool first = due_.empty() || due.at < due_.top().at;
  const TimePoint at = due.at;
  due_.push(std::move(due));
  if (first) {
    net_.Wake(at);
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleWake() {
  const TimePoint now = net_.Now();
  while (!due_.empty() && due_.top().at <= now) {
    const Due due = due_.top();
    due_.pop();
    HandleTimer(due);
  }
  // Reminders whose reason has passed need no wake-up.
  while (!due_.empty() && IsObsolete(due_.top())) {
    due_.pop();
  }
  if (!due_.empty()) {
    net_.Wake(due_.top().at);
  }
}

template <WireDialect D, class N>
bool TrafficCore<D, N>::IsObsolete(const Due& due) {
  switch (due.reminder) {
    case TimerKind::kDeadline:
    case TimerKind::kSlow:
    case TimerKind::kRetry:
      return !IsInProgress(due.subject, due.ticket);
    case TimerKind::kReturning: {
      const PooledConnection* it = FindConnection(due.subject);
      return it == nullptr || it->use != ConnectionState::kReturning ||
             it->returning_since + kAbandonedTimeout != due.at;
    }
    case TimerKind::kConnect: {
      const PooledConnection* it = FindConnection(due.subject);
      return it == nullptr || it->use != ConnectionState::kOpening;
    }
    case TimerKind::kAbandoned: {
      const PooledConnection* it = FindConnection(due.subject);
      return it == nullptr || it->use != ConnectionState::kAbandoned;
    }
    case TimerKind::kTransactionIdle:
    case TimerKind::kPool:
    case TimerKind::kUnused:
    case TimerKind::kLeaders:
    case TimerKind::kBound:
    case TimerKind::kDrain:
      return false;
  }
  return false;
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleTimer(const Due& due) {
  switch (due.reminder) {
    case TimerKind::kDeadline:
      if (IsInProgress(due.subject, due.ticket)) {
        HandleDeadline(*FindSession(due.subject));
      }
      return;
    case TimerKind::kSlow:
      if (IsInProgress(due.subject, due.ticket)) {
        HandleSlow(*FindSession(due.subject));
      }
      return;
    case TimerKind::kRetry:
      if (IsInProgress(due.subject, due.ticket)) {
        Dispatch(*FindSession(due.subject));
      }
      return;
    case TimerKind::kConnect:
      if (const PooledConnection* it = FindConnection(due.subject);
          it != nullptr && it->use == ConnectionState::kOpening) {
        const EndpointId endpoint = it->endpoint;
        CloseEndpointConnection(due.subject);
        if (EndpointPool* pool = FindPool(endpoint)) {
          HandleEndpointFailure(*pool, EndpointCondition::kUnreachable);
          StartQueued(*pool);
        }
      }
      return;
    case TimerKind::kAbandoned:
      if (const PooledConnection* it = FindConnection(due.subject);
          it != nullptr && it->use == ConnectionState::kAbandoned) {
        CloseAndStartQueued(*it);
      }
      return;
    case TimerKind::kReturning:
      // Its answers are lost; the endpoint may be well otherwise.
      if (const PooledConnection* it = FindConnection(due.subject);
          it != nullptr && it->use == ConnectionState::kReturning &&
          net_.Now() - it->returning_since >= kAbandonedTimeout) {
        CloseAndStartQueued(*it);
      }
      return;
    case TimerKind::kTransactionIdle:
      if (CallerSession* it = FindSession(due.subject);
          it != nullptr && it->transaction == TransactionPhase::kOpen &&
          !it->IsBusy() && it->last_statement_id == due.ticket) {
        HandleIdleTransaction(*it);
      }
      return;
    case TimerKind::kPool:
      if (EndpointPool* pool = FindPool(due.endpoint)) {
        StartQueued(*pool);
        if (!pool->queue.empty() && pool->connections.empty()) {
          ScheduleTimer({net_.Now() + kConnectTimeout / 4, TimerKind::kPool, 0,
                         0, due.endpoint});
        }
      }
      return;
    case TimerKind::kUnused:
      if (EndpointPool* pool = FindPool(due.endpoint)) {
        CloseIdleConnections(*pool);
      }
      return;
    case TimerKind::kLeaders:
      ReviewPrimaries();
      return;
    case TimerKind::kBound:
      if (const EndpointPool* pool = FindPool(due.endpoint);
          pool != nullptr &&
          !GetService(pool->entry.service).reads_awaiting_bound.empty()) {
        // No answer from the other VM, or none that helps.
        RequestPrimaryBound(pool->entry.service);
      }
      return;
    case TimerKind::kDrain:
      HandleDrain();
      return;
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::CloseAndStartQueued(
    const PooledConnection& connection) {
  const EndpointId endpoint = connection.endpoint;
  CloseEndpointConnection(connection.id);
  if (EndpointPool* pool = FindPool(endpoint)) {
    StartQueued(*pool);
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleDeadline(CallerSession& session) {
  ActiveStatement& work = session.work;
  bool sent = false;
  for (const uint64_t it : work.connections) {
    const PooledConnection* connection = FindConnection(it);
    sent = sent || (connection != nullptr &&
                    connection->use == ConnectionState::kRunning);
  }
  if (!sent) {
    FailStatement(session, StatementError::kBusy,
                  "not run within the statement timeout");
    return;
  }
  const bool commits = work.kind == StatementKind::kCommit;
  if (work.need == EndpointRequirement::kOpenTransaction) {
    const uint64_t connection = std::exchange(session.connection, 0);
    const bool unknown = commits && session.transaction_wrote;
    work.connections.clear();
    if (commits) {
      // It may still go through; its answer is not needed.
      Abandon(connection);
    } else {
      CloseEndpointConnection(connection);
    }
    FailStatement(session,
                  unknown ? StatementError::kUnknown : StatementError::kAborted,
                  "no answer within the statement timeout");
    return;
  }
  if (work.IsAutocommitWrite()) {
    FailStatement(session, StatementError::kUnknown,
                  "no answer within the statement timeout");
    return;
  }
  if (work.IsAutocommitRead()) {
    FailStatement(session, StatementError::kTimedOut,
                  "no answer within the statement timeout");
    return;
  }
  // The first statement of a transaction: ending the connection undoes it.
  const std::vector<uint64_t> connections = std::move(work.connections);
  work.connections.clear();
  for (const uint64_t it : connections) {
    CloseEndpointConnection(it);
  }
  FailStatement(session, StatementError::kAborted,
                "no answer within the statement timeout");
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleSlow(CallerSession& session) {
  ActiveStatement& work = session.work;
  const TimePoint now = net_.Now();
  if (work.connections.empty()) {
    return;
  }
  PooledConnection* connection = FindConnection(work.connections.front());
  EndpointPool* pool =
      connection == nullptr ? nullptr : FindPool(connection->endpoint);
  if (pool == nullptr) {
    return;
  }
  const TimePoint sent_at =
      connection->expected.empty() ? now : connection->expected.back().sent_at;
  if (now - sent_at < kSlowStatementThreshold) {
    ScheduleTimer({sent_at + kSlowStatementThreshold,
                   TimerKind::kSlow,
                   session.id,
                   work.ticket,
                   {}});
    return;
  }
  const bool silent = pool->last_heard < sent_at;
  const bool commits = work.IsAutocommitWrite() ||
                       (work.kind == StatementKind::kCommit && work.writes);
  if (silent) {
    if (!pool->IsBackedOff(now)) {
      HandleEndpointFailure(*pool, EndpointCondition::kSilent);
    } else {
      net_.Report({pool->entry.id, EndpointCondition::kSilent});
    }
  } else if (commits) {
    net_.Report({pool->entry.id, EndpointCondition::kCommitsStalled});
  }
  if (connection->use == ConnectionState::kBeginning && silent) {
    // Nothing of the caller's was sent; it may go elsewhere.
    const uint64_t id = connection->id;
    HandleConnectionLoss(id, "silent");
    return;
  }
  if (work.IsAutocommitRead() && !work.hedged &&
      connection->use == ConnectionState::kRunning) {
    work.hedged = true;
    work.avoided_endpoints.push_back(pool->entry.id);
    ++counters_.hedged;
    LogEvent(Event::kStatementHedged,
             {{"request", work.request_id},
              {"endpoint", pool->entry.id.value},
              {"silent", silent ? "yes" : "no"},
              {"age_us", std::to_string((now - sent_at).count())}});
    Dispatch(session);
    return;
  }
  ScheduleTimer({now + kSlowStatementThreshold,
                 TimerKind::kSlow,
                 session.id,
                 work.ticket,
                 {}});
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleIdleTransaction(CallerSession& session) {
  LogEvent(Event::kTransactionRolledBack,
           {{"transaction", std::to_string(session.connection)},
            {"reason", "idle"}});
  if (PooledConnection* connection =
          FindConnection(std::exchange(session.connection, 0))) {
    Settle(*connection);
  }
  session.transaction = TransactionPhase::kLost;
}

template <WireDialect D, class N>
void TrafficCore<D, N>::ReviewPrimaries() {
  const TimePoint now = net_.Now();
  bool waiting = false;
  for (auto& [id, service] : services_) {
    if (service.leader.Get() != nullptr && service.waiting.empty()) {
      continue;
    }
    std::vector<const EndpointEntry*> entries;
    for (const EndpointId& endpoint : service.endpoints) {
      if (const EndpointPool* pool = FindPool(endpoint)) {
        entries.push_back(&pool->entry);
      }
    }
    service.leader.Review(entries, now);
    if (service.leader.Get() != nullptr) {
      HandlePrimaryChange(service);
    }
    waiting = waiting || !service.waiting.empty();
  }
  if (waiting) {
    ScheduleTimer(
        {now + kPrimaryReviewInterval, TimerKind::kLeaders, 0, 0, {}});
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::BeginDrain(Duration transaction_grace,
                                   Duration statement_grace) {
  drain_began_at_ = net_.Now();
  transaction_grace_ = transaction_grace;
  statement_grace_ = statement_grace;
  HandleDrain();
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleDrain() {
  const TimePoint now = net_.Now();
  const Duration elapsed = now - drain_began_at_;
  const bool transactions_end = elapsed >= transaction_grace_;
  // After the first sweep everything at rest is ended at once.
  const double part = std::min(
      1.0, static_cast<double>(elapsed.count() + kDrainInterval.count()) /
               static_cast<double>(kDrainSpreadPeriod.count()));
  close_idle_sessions_ = part >= 1.0;
  std::vector<uint64_t> ending;
  std::vector<uint64_t> overdue;
  for (auto& [id, session] : sessions_) {
    if (session.IsBusy() && elapsed >= statement_grace_) {
      overdue.push_back(id);
      continue;
    }
    const bool in_transaction = session.transaction != TransactionPhase::kNone;
    if (session.IsBusy() || net_.HasUnread(id) ||
        (in_transaction && !transactions_end)) {
      continue;
    }
    const bool chosen =
        part >= 1.0 || static_cast<double>(id % 97) / 97.0 < part;
    if (chosen && now - session.last_active >= kDrainInterval) {
      ending.push_back(id);
    }
  }
  for (const uint64_t it : overdue) {
    if (CallerSession* session = FindSession(it);
        session != nullptr && session->IsBusy()) {
      HandleDeadline(*session);
    }
  }
  for (const uint64_t it : ending) {
    if (CallerSession* session = FindSession(it)) {
      EndSession(*session);
    }
  }
  ScheduleTimer({now + kDrainInterval, TimerKind::kDrain, 0, 0, {}});
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_TIMERS_H_
