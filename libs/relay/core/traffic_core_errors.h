#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_ERRORS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_ERRORS_H_

// What is done about a statement that an endpoint refused. Included by
// traffic_core.h.

#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleStatementError(PooledConnection& connection,
                                             CallerSession& session,
                                             StatementError refusal) {
  ActiveStatement& work = session.work;
  const EndpointId endpoint = connection.endpoint;
  EndpointPool* pool = FindPool(endpoint);
  const TimePoint now = net_.Now();
  if (refusal == StatementError::kUnknownStatement) {
    connection.prepared.clear();
  }
  if (refusal == StatementError::kBusy) {
    pool->RecordBusy(now);
  }
  if (refusal == StatementError::kNotPrimary) {
    HandleNotPrimary(*pool);
  }
  if (work.need == EndpointRequirement::kOpenTransaction) {
    HandleErrorInTransaction(connection, session, refusal);
    return;
  }
  const bool did_not_run = refusal == StatementError::kBehind ||
                           refusal == StatementError::kBusy ||
                           refusal == StatementError::kNotPrimary ||
                           refusal == StatementError::kUnknownStatement;
  const std::string reason = connection.text;
  const uint64_t session_id = session.id;
  const uint64_t ticket = work.ticket;
  Settle(connection);
  if (!IsInProgress(session_id, ticket)) {
    return;
  }
  if (!did_not_run) {
    FailStatement(*FindSession(session_id), refusal, reason);
    return;
  }
  Duration pause{};
  if (refusal == StatementError::kBusy) {
    pause = kBusyBackoff;
  }
  RetryElsewhere(*FindSession(session_id), endpoint, refusal, pause);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleErrorInTransaction(PooledConnection& connection,
                                                 CallerSession& session,
                                                 StatementError refusal) {
  const bool still_open =
      connection.status == TransactionStatus::kInTransaction;
  const bool repeat = refusal == StatementError::kBusy ||
                      refusal == StatementError::kUnknownStatement;
  connection.use = ConnectionState::kReserved;
  if (still_open && repeat && session.work.attempts < kMaxStatementAttempts) {
    RetryLater(session, kBusyBackoff);
    return;
  }
  const std::string reason = connection.text;
  if (!still_open) {
    session.connection = 0;
    const bool ended = connection.status == TransactionStatus::kIdle;
    const uint64_t session_id = session.id;
    const uint64_t ticket = session.work.ticket;
    // The caller sees the failed state here; the connection is free.
    Settle(connection);
    if (!IsInProgress(session_id, ticket)) {
      return;
    }
    CallerSession& same = *FindSession(session_id);
    same.transaction = ended && same.work.kind == StatementKind::kCommit
                           ? TransactionPhase::kNone
                           : TransactionPhase::kFailed;
    FailStatement(same, refusal, reason);
    return;
  }
  FailStatement(session, refusal, reason);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::RetryElsewhere(CallerSession& session,
                                       const EndpointId& failed,
                                       StatementError refusal,
                                       Duration pause) {
  ActiveStatement& work = session.work;
  const TimePoint now = net_.Now();
  work.last_error = refusal;
  if (!work.connections.empty()) {
    // The other copy of a repeated read still runs.
    return;
  }
  const bool awaits_leader = refusal == StatementError::kNotPrimary;
  if (awaits_leader) {
    pause = kNotPrimaryBackoff;
  }
  if ((work.attempts >= kMaxStatementAttempts && !awaits_leader) ||
      now >= work.deadline) {
    FailStatement(session,
                  GuaranteesNoEffect(refusal) ? refusal : StatementError::kBusy,
                  "no endpoint could run it");
    return;
  }
  const bool seen =
      std::find(work.avoided_endpoints.begin(), work.avoided_endpoints.end(),
                failed) != work.avoided_endpoints.end();
  // A replica that is a little behind catches up sooner than a trip to another
  // region takes; the second time it is passed over.
  const EndpointPool* pool = FindPool(failed);
  const bool lags_long = pool != nullptr && pool->HasPersistentLag();
  if (refusal == StatementError::kBehind && !work.waited_for_replica && !seen &&
      !lags_long) {
    work.waited_for_replica = true;
    pause = kReplicaBehindBackoff;
  } else if (refusal != StatementError::kBusy &&
             !RequiresPrimary(work.base_requirement)) {
    work.avoided_endpoints.push_back(failed);
  }
  ++counters_.retried;
  LogEvent(Event::kStatementRetried,
           {{"request", work.request_id},
            {"need", std::string(EndpointRequirementName(work.need))},
            {"endpoint", failed.value},
            {"refusal", std::string(StatementErrorName(refusal))},
            {"attempts", std::to_string(work.attempts)},
            {"pause_us", std::to_string(pause.count())}});
  RetryLater(session, pause);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::FailStatement(CallerSession& session,
                                      StatementError refusal,
                                      std::string_view reason) {
  ActiveStatement& work = session.work;
  const TimePoint now = net_.Now();
  const bool in_transaction = session.transaction != TransactionPhase::kNone;
  if (in_transaction) {
    if (work.kind == StatementKind::kCommit) {
      session.transaction = TransactionPhase::kNone;
    } else if (session.connection == 0) {
      session.transaction = TransactionPhase::kFailed;
    }
  }
  const EndpointPool* pool = FindPool(work.queued_endpoint);
  const std::string place =
      pool == nullptr
          ? "none"
          : pool->entry.id.value + "/" + std::to_string(pool->running) + "/" +
                std::to_string(pool->GetConcurrencyLimit()) + "/" +
                std::to_string(pool->connections.size());
  LogEvent(refusal == StatementError::kUnknown ? Event::kStatementUnknown
                                               : Event::kStatementRefused,
           {{"request", work.request_id},
            {"refusal", std::string(StatementErrorName(refusal))},
            {"reason", std::string(reason)},
            {"database", session.database},
            {"need", std::string(EndpointRequirementName(work.need))},
            {"held_us", std::to_string((now - work.received_at).count())},
            {"attempts", std::to_string(work.attempts)},
            {"queued_at", place},
            {"last", std::string(StatementErrorName(work.last_error))}});
  Observe(session, GuaranteesNoEffect(refusal) ? Outcome::kNotRun
                   : refusal == StatementError::kUnknown ||
                           refusal == StatementError::kTimedOut
                       ? Outcome::kUnknown
                       : Outcome::kFailed);
  ReplyError(session, refusal, reason);
  FinishStatement(session);
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_ERRORS_H_
