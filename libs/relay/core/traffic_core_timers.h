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
void TrafficCore<D, N>::Remind(Due due) {
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
    HandleDue(due);
  }
  // Reminders whose reason has passed need no wake-up.
  while (!due_.empty() && IsPast(due_.top())) {
    due_.pop();
  }
  if (!due_.empty()) {
    net_.Wake(due_.top().at);
  }
}

template <WireDialect D, class N>
bool TrafficCore<D, N>::IsPast(const Due& due) {
  switch (due.reminder) {
    case Reminder::kDeadline:
    case Reminder::kSlow:
    case Reminder::kRetry:
      return !IsStillWaiting(due.subject, due.ticket);
    case Reminder::kSettling: {
      const PooledConnection* it = FindConnection(due.subject);
      return it == nullptr || it->use != ConnectionUse::kSettling ||
             it->settling_since + kAbandonedLimit != due.at;
    }
    case Reminder::kConnect: {
      const PooledConnection* it = FindConnection(due.subject);
      return it == nullptr || it->use != ConnectionUse::kOpening;
    }
    case Reminder::kAbandoned: {
      const PooledConnection* it = FindConnection(due.subject);
      return it == nullptr || it->use != ConnectionUse::kAbandoned;
    }
    case Reminder::kTransactionIdle:
    case Reminder::kPool:
    case Reminder::kUnused:
    case Reminder::kLeaders:
    case Reminder::kBound:
    case Reminder::kDrain:
      return false;
  }
  return false;
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleDue(const Due& due) {
  switch (due.reminder) {
    case Reminder::kDeadline:
      if (IsStillWaiting(due.subject, due.ticket)) {
        HandleDeadline(*FindSession(due.subject));
      }
      return;
    case Reminder::kSlow:
      if (IsStillWaiting(due.subject, due.ticket)) {
        HandleSlow(*FindSession(due.subject));
      }
      return;
    case Reminder::kRetry:
      if (IsStillWaiting(due.subject, due.ticket)) {
        Dispatch(*FindSession(due.subject));
      }
      return;
    case Reminder::kConnect:
      if (const PooledConnection* it = FindConnection(due.subject);
          it != nullptr && it->use == ConnectionUse::kOpening) {
        const EndpointId endpoint = it->endpoint;
        DropConnection(due.subject);
        if (EndpointPool* pool = FindPool(endpoint)) {
          NotePoolFailure(*pool, EndpointCondition::kUnreachable);
          StartQueued(*pool);
        }
      }
      return;
    case Reminder::kAbandoned:
      if (const PooledConnection* it = FindConnection(due.subject);
          it != nullptr && it->use == ConnectionUse::kAbandoned) {
        DropUnused(*it);
      }
      return;
    case Reminder::kSettling:
      // Its answers are lost; the endpoint may be well otherwise.
      if (const PooledConnection* it = FindConnection(due.subject);
          it != nullptr && it->use == ConnectionUse::kSettling &&
          net_.Now() - it->settling_since >= kAbandonedLimit) {
        DropUnused(*it);
      }
      return;
    case Reminder::kTransactionIdle:
      if (CallerSession* it = FindSession(due.subject);
          it != nullptr && it->transaction == TransactionPhase::kOpen &&
          !it->IsBusy() && it->last_ticket == due.ticket) {
        HandleIdleTransaction(*it);
      }
      return;
    case Reminder::kPool:
      if (EndpointPool* pool = FindPool(due.endpoint)) {
        StartQueued(*pool);
        if (!pool->queue.empty() && pool->connections.empty()) {
          Remind({net_.Now() + kConnectTimeout / 4, Reminder::kPool, 0, 0,
                  due.endpoint});
        }
      }
      return;
    case Reminder::kUnused:
      if (EndpointPool* pool = FindPool(due.endpoint)) {
        EndUnused(*pool);
      }
      return;
    case Reminder::kLeaders:
      HandleLeaderReview();
      return;
    case Reminder::kBound:
      if (const EndpointPool* pool = FindPool(due.endpoint);
          pool != nullptr &&
          !GetService(pool->entry.service).awaiting_bound.empty()) {
        // No answer from the other VM, or none that helps.
        AskPrimary(pool->entry.service);
      }
      return;
    case Reminder::kDrain:
      HandleDrain();
      return;
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::DropUnused(const PooledConnection& connection) {
  const EndpointId endpoint = connection.endpoint;
  DropConnection(connection.id);
  if (EndpointPool* pool = FindPool(endpoint)) {
    StartQueued(*pool);
  }
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleDeadline(CallerSession& session) {
  SessionWork& work = session.work;
  bool sent = false;
  for (const uint64_t it : work.connections) {
    const PooledConnection* connection = FindConnection(it);
    sent = sent || (connection != nullptr &&
                    connection->use == ConnectionUse::kRunning);
  }
  if (!sent) {
    FailWork(session, Refusal::kBusy, "not run within the statement timeout");
    return;
  }
  const bool commits = work.kind == StatementKind::kCommit;
  if (work.need == Need::kWithin) {
    const uint64_t connection = std::exchange(session.connection, 0);
    const bool unknown = commits && session.transaction_wrote;
    work.connections.clear();
    if (commits) {
      // It may still go through; its answer is not needed.
      Abandon(connection);
    } else {
      DropConnection(connection);
    }
    FailWork(session, unknown ? Refusal::kUnknown : Refusal::kAborted,
             "no answer within the statement timeout");
    return;
  }
  if (work.IsSingleWrite()) {
    FailWork(session, Refusal::kUnknown,
             "no answer within the statement timeout");
    return;
  }
  if (work.IsSingleRead()) {
    FailWork(session, Refusal::kTimedOut,
             "no answer within the statement timeout");
    return;
  }
  // The first statement of a transaction: ending the connection undoes it.
  const std::vector<uint64_t> connections = std::move(work.connections);
  work.connections.clear();
  for (const uint64_t it : connections) {
    DropConnection(it);
  }
  FailWork(session, Refusal::kAborted,
           "no answer within the statement timeout");
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleSlow(CallerSession& session) {
  SessionWork& work = session.work;
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
  if (now - sent_at < kSlowAfter) {
    Remind(
        {sent_at + kSlowAfter, Reminder::kSlow, session.id, work.ticket, {}});
    return;
  }
  const bool silent = pool->last_heard < sent_at;
  const bool commits = work.IsSingleWrite() ||
                       (work.kind == StatementKind::kCommit && work.writes);
  if (silent) {
    if (!pool->IsAvoided(now)) {
      NotePoolFailure(*pool, EndpointCondition::kSilent);
    } else {
      net_.Report({pool->entry.id, EndpointCondition::kSilent});
    }
  } else if (commits) {
    net_.Report({pool->entry.id, EndpointCondition::kCommitsStalled});
  }
  if (connection->use == ConnectionUse::kPreparing && silent) {
    // Nothing of the caller's was sent; it may go elsewhere.
    const uint64_t id = connection->id;
    LoseConnection(id, "silent");
    return;
  }
  if (work.IsSingleRead() && !work.hedged &&
      connection->use == ConnectionUse::kRunning) {
    work.hedged = true;
    work.passed_over.push_back(pool->entry.id);
    ++counters_.hedged;
    LogEvent(Event::kStatementHedged,
             {{"request", work.request_id},
              {"endpoint", pool->entry.id.value},
              {"silent", silent ? "yes" : "no"},
              {"age_us", std::to_string((now - sent_at).count())}});
    Dispatch(session);
    return;
  }
  Remind({now + kSlowAfter, Reminder::kSlow, session.id, work.ticket, {}});
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
void TrafficCore<D, N>::HandleLeaderReview() {
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
      LeaderChanged(service);
    }
    waiting = waiting || !service.waiting.empty();
  }
  if (waiting) {
    Remind({now + kLeaderReview, Reminder::kLeaders, 0, 0, {}});
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
  const double part =
      std::min(1.0, static_cast<double>(elapsed.count() + kDrainStep.count()) /
                        static_cast<double>(kDrainSpread.count()));
  ends_at_rest_ = part >= 1.0;
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
    if (chosen && now - session.last_active >= kDrainStep) {
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
  Remind({now + kDrainStep, Reminder::kDrain, 0, 0, {}});
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_TIMERS_H_
