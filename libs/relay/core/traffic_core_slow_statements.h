#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_SLOW_STATEMENTS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_SLOW_STATEMENTS_H_

// Statements whose reply is overdue: reports on endpoints and holders, and
// reads that are sent twice. Included by traffic_core.h.

#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleSlowStatement(CallerSession& session) {
  ActiveStatement& statement = session.statement;
  const TimePoint now = net_.Now();
  if (statement.connections.empty()) {
    return;
  }
  PooledConnection* connection = FindConnection(statement.connections.front());
  EndpointPool* pool =
      connection == nullptr ? nullptr : FindPool(connection->endpoint);
  if (pool == nullptr) {
    return;
  }
  const TimePoint sent_at = connection->pending_replies.empty()
                                ? now
                                : connection->pending_replies.back().sent_at;
  if (now - sent_at < kSlowStatementThreshold) {
    ScheduleTimer({sent_at + kSlowStatementThreshold,
                   TimerKind::kSlowStatement,
                   session.id,
                   statement.id,
                   {}});
    return;
  }
  if (connection->IsForwarded()) {
    HandleSlowForwarded(session, *connection, *pool);
    return;
  }
  const bool silent = pool->last_activity < sent_at;
  const bool commits =
      statement.IsAutocommitWrite() ||
      (statement.kind == StatementKind::kCommit && statement.writes);
  if (silent) {
    if (!pool->IsBackedOff(now)) {
      HandleEndpointFailure(*pool, EndpointCondition::kSilent);
    } else {
      net_.Report({pool->entry.id, EndpointCondition::kSilent});
    }
  } else if (commits && connection->state == ConnectionState::kRunning) {
    net_.Report({pool->entry.id, EndpointCondition::kCommitsStalled});
  }
  if (connection->state == ConnectionState::kBeginning && silent) {
    // The caller's statement was not sent yet, so it may go to another
    // endpoint.
    const uint64_t id = connection->id;
    HandleConnectionLoss(id, "silent");
    return;
  }
  const bool may_repeat = statement.IsAutocommitRead() && !statement.hedged &&
                          connection->state == ConnectionState::kRunning &&
                          (silent || hedge_budget_.Take());
  if (may_repeat && session.is_forwarded) {
    // The VM that forwarded the read repeats it, elsewhere if it may.
    FailStatement(session,
                  silent ? StatementError::kAborted : StatementError::kBusy,
                  "the endpoint's reply is overdue");
    return;
  }
  if (may_repeat) {
    HedgeRead(session, *pool, silent ? "yes" : "no", sent_at);
    return;
  }
  ScheduleTimer({now + kSlowStatementThreshold,
                 TimerKind::kSlowStatement,
                 session.id,
                 statement.id,
                 {}});
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HedgeRead(CallerSession& session,
                                  const EndpointPool& pool,
                                  std::string_view silent,
                                  TimePoint sent_at) {
  ActiveStatement& statement = session.statement;
  statement.hedged = true;
  statement.avoided_endpoints.push_back(pool.entry.id);
  ++counters_.hedged;
  LogEvent(Event::kStatementHedged,
           {{"request", statement.request_id},
            {"endpoint", pool.entry.id.value},
            {"silent", std::string(silent)},
            {"age_us", std::to_string((net_.Now() - sent_at).count())}});
  Dispatch(session);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleSlowForwarded(CallerSession& session,
                                            PooledConnection& connection,
                                            EndpointPool& pool) {
  // The holder notices a silent endpoint and an overdue reply. Whether the
  // holder responds is found out here.
  ActiveStatement& statement = session.statement;
  const TimePoint now = net_.Now();
  if (!CheckHolder(connection, statement) && statement.IsAutocommitRead() &&
      !statement.hedged) {
    const TimePoint sent_at = connection.pending_replies.empty()
                                  ? now
                                  : connection.pending_replies.back().sent_at;
    HedgeRead(session, pool, "yes", sent_at);
    return;
  }
  ScheduleTimer({now + kSlowStatementThreshold,
                 TimerKind::kSlowStatement,
                 session.id,
                 statement.id,
                 {}});
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_SLOW_STATEMENTS_H_
