#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_REFUSALS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_REFUSALS_H_

// What is done about a statement that an endpoint refused. Included by
// traffic_core.h.

#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleRefusal(PooledConnection& connection,
                                      CallerSession& session,
                                      Refusal refusal) {
  SessionWork& work = session.work;
  const EndpointId endpoint = connection.endpoint;
  EndpointPool* pool = FindPool(endpoint);
  const TimePoint now = net_.Now();
  if (refusal == Refusal::kUnknownStatement) {
    connection.prepared.clear();
  }
  if (refusal == Refusal::kBusy) {
    pool->NoteBusy(now);
  }
  if (refusal == Refusal::kNotPrimary) {
    NoteNotLeading(*pool);
  }
  if (work.need == Need::kWithin) {
    HandleRefusalWithin(connection, session, refusal);
    return;
  }
  const bool did_not_run =
      refusal == Refusal::kBehind || refusal == Refusal::kBusy ||
      refusal == Refusal::kNotPrimary || refusal == Refusal::kUnknownStatement;
  const std::string reason = connection.text;
  const uint64_t session_id = session.id;
  const uint64_t ticket = work.ticket;
  Settle(connection);
  if (!IsStillWaiting(session_id, ticket)) {
    return;
  }
  if (!did_not_run) {
    FailWork(*FindSession(session_id), refusal, reason);
    return;
  }
  Duration pause{};
  if (refusal == Refusal::kBusy) {
    pause = kBusyRetry;
  }
  RetryElsewhere(*FindSession(session_id), endpoint, refusal, pause);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::HandleRefusalWithin(PooledConnection& connection,
                                            CallerSession& session,
                                            Refusal refusal) {
  const bool still_open = connection.status == ConnectionStatus::kInTransaction;
  const bool repeat =
      refusal == Refusal::kBusy || refusal == Refusal::kUnknownStatement;
  connection.use = ConnectionUse::kHeld;
  if (still_open && repeat && session.work.attempts < kMostAttempts) {
    RetryLater(session, kBusyRetry);
    return;
  }
  const std::string reason = connection.text;
  if (!still_open) {
    session.connection = 0;
    const bool ended = connection.status == ConnectionStatus::kIdle;
    const uint64_t session_id = session.id;
    const uint64_t ticket = session.work.ticket;
    // The caller sees the failed state here; the connection is free.
    Settle(connection);
    if (!IsStillWaiting(session_id, ticket)) {
      return;
    }
    CallerSession& same = *FindSession(session_id);
    same.transaction = ended && same.work.kind == StatementKind::kCommit
                           ? TransactionPhase::kNone
                           : TransactionPhase::kFailed;
    FailWork(same, refusal, reason);
    return;
  }
  FailWork(session, refusal, reason);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::RetryElsewhere(CallerSession& session,
                                       const EndpointId& failed,
                                       Refusal refusal,
                                       Duration pause) {
  SessionWork& work = session.work;
  const TimePoint now = net_.Now();
  work.last_refusal = refusal;
  if (!work.connections.empty()) {
    // The other copy of a repeated read still runs.
    return;
  }
  const bool awaits_leader = refusal == Refusal::kNotPrimary;
  if (awaits_leader) {
    pause = kLeaderRetry;
  }
  if ((work.attempts >= kMostAttempts && !awaits_leader) ||
      now >= work.deadline) {
    FailWork(session, IsPromise(refusal) ? refusal : Refusal::kBusy,
             "no endpoint could run it");
    return;
  }
  const bool seen = std::find(work.passed_over.begin(), work.passed_over.end(),
                              failed) != work.passed_over.end();
  // A replica that is a little behind catches up sooner than a trip to another
  // region takes; the second time it is passed over.
  const EndpointPool* pool = FindPool(failed);
  const bool lags_long = pool != nullptr && pool->LagsLong();
  if (refusal == Refusal::kBehind && !work.waited_for_replica && !seen &&
      !lags_long) {
    work.waited_for_replica = true;
    pause = kBehindRetry;
  } else if (refusal != Refusal::kBusy && !NeedsLeader(work.base_need)) {
    work.passed_over.push_back(failed);
  }
  ++counters_.retried;
  LogEvent(Event::kStatementRetried,
           {{"request", work.request_id},
            {"need", std::string(NeedName(work.need))},
            {"endpoint", failed.value},
            {"refusal", std::string(RefusalName(refusal))},
            {"attempts", std::to_string(work.attempts)},
            {"pause_us", std::to_string(pause.count())}});
  RetryLater(session, pause);
}

template <WireDialect D, class N>
void TrafficCore<D, N>::FailWork(CallerSession& session,
                                 Refusal refusal,
                                 std::string_view reason) {
  SessionWork& work = session.work;
  const TimePoint now = net_.Now();
  const bool in_transaction = session.transaction != TransactionPhase::kNone;
  if (in_transaction) {
    if (work.kind == StatementKind::kCommit) {
      session.transaction = TransactionPhase::kNone;
    } else if (session.connection == 0) {
      session.transaction = TransactionPhase::kFailed;
    }
  }
  const EndpointPool* pool = FindPool(work.queued_at);
  const std::string place = pool == nullptr
                                ? "none"
                                : pool->entry.id.value + "/" +
                                      std::to_string(pool->running) + "/" +
                                      std::to_string(pool->GetLimit()) + "/" +
                                      std::to_string(pool->connections.size());
  LogEvent(refusal == Refusal::kUnknown ? Event::kStatementUnknown
                                        : Event::kStatementRefused,
           {{"request", work.request_id},
            {"refusal", std::string(RefusalName(refusal))},
            {"reason", std::string(reason)},
            {"database", session.database},
            {"need", std::string(NeedName(work.need))},
            {"held_us", std::to_string((now - work.received_at).count())},
            {"attempts", std::to_string(work.attempts)},
            {"queued_at", place},
            {"last", std::string(RefusalName(work.last_refusal))}});
  Observe(session,
          IsPromise(refusal) ? Outcome::kNotRun
          : refusal == Refusal::kUnknown || refusal == Refusal::kTimedOut
              ? Outcome::kUnknown
              : Outcome::kFailed);
  AnswerError(session, refusal, reason);
  FinishWork(session);
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_REFUSALS_H_
