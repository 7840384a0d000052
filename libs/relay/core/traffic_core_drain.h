#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_DRAIN_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_DRAIN_H_

// The end of all sessions before the process exits. A session at rest is closed
// by a timer, and one that never rests behind an answer. Included by
// traffic_core.h.

#include <algorithm>
#include <utility>
#include <vector>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::BeginDrain(const DrainPeriods& periods) {
  drain_began_at_ = net_.Now();
  drain_periods_ = periods;
  HandleDrain();
}

template <ForwardingDialect D, class N>
typename TrafficCore<D, N>::DrainPhase TrafficCore<D, N>::GetDrainPhase(
    Duration elapsed) const {
  if (elapsed >= drain_periods_.answers) {
    return DrainPhase::kEnding;
  }
  if (elapsed >= drain_periods_.statements) {
    return DrainPhase::kRefusing;
  }
  return elapsed + kDrainInterval >= kDrainSpreadPeriod
             ? DrainPhase::kClosing
             : DrainPhase::kSpreading;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleDrain() {
  const TimePoint now = net_.Now();
  drain_phase_ = GetDrainPhase(now - drain_began_at_);
  std::vector<uint64_t> ids;
  ids.reserve(sessions_.size());
  for (const auto& [id, session] : sessions_) {
    ids.push_back(id);
  }
  for (const uint64_t it : ids) {
    if (CallerSession* session = FindSession(it)) {
      DrainSession(*session);
    }
  }
  ScheduleTimer({now + kDrainInterval, TimerKind::kDrain, 0, 0, {}});
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::DrainSession(CallerSession& session) {
  if (session.IsBusy()) {
    if (drain_phase_ == DrainPhase::kEnding) {
      HandleDeadline(session);
    } else if (drain_phase_ == DrainPhase::kRefusing) {
      RefuseUnsent(session);
    }
    return;
  }
  if (!EndsAtRest(session)) {
    return;
  }
  if (!session.opened && !session.database.empty()) {
    // It waits for the first configuration.
    RefuseSession(session);
    return;
  }
  EndSession(session);
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::EndsAtRest(const CallerSession& session) const {
  const TimePoint now = net_.Now();
  const Duration elapsed = now - drain_began_at_;
  const bool in_transaction = session.transaction != TransactionPhase::kNone;
  if (session.is_forwarded && !in_transaction) {
    // The other VM closes it when it knows that this one leaves.
    return false;
  }
  if (drain_phase_ == DrainPhase::kEnding) {
    return true;
  }
  if (net_.HasUnread(session.id) ||
      (in_transaction && elapsed < drain_periods_.transactions)) {
    return false;
  }
  if (drain_phase_ == DrainPhase::kRefusing && !in_transaction) {
    return true;
  }
  // The sessions are closed over a period, so that their callers don't all
  // reconnect to the other VMs at once.
  const double closing_fraction =
      static_cast<double>((elapsed + kDrainInterval).count()) /
      static_cast<double>(kDrainSpreadPeriod.count());
  const bool is_chosen =
      static_cast<double>(session.id % 97) / 97.0 < closing_fraction;
  return is_chosen && now - session.last_active >= kDrainInterval;
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::EndsBehindAnswer(const CallerSession& session) const {
  if (session.is_forwarded || session.IsBusy() || !session.backlog.empty() ||
      session.transaction != TransactionPhase::kNone) {
    return false;
  }
  // Behind a SET or PREPARE, the statement that needs it is about to arrive.
  // While statements are refused, a caller that always sends ahead is closed.
  return IsRefusing() ||
         (drain_phase_ == DrainPhase::kClosing &&
          !session.prepares_statements && !net_.HasUnread(session.id));
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::FinishEvent() {
  const std::vector<uint64_t> ids = std::exchange(answered_sessions_, {});
  for (const uint64_t it : ids) {
    if (CallerSession* session = FindSession(it);
        session != nullptr && EndsBehindAnswer(*session)) {
      EndSession(*session);
    }
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RefuseUnsent(CallerSession& session) {
  ActiveStatement& statement = session.statement;
  const bool is_sent =
      std::any_of(statement.connections.begin(), statement.connections.end(),
                  [this](uint64_t it) {
                    const PooledConnection* connection = FindConnection(it);
                    return connection != nullptr &&
                           connection->state == ConnectionState::kRunning;
                  });
  if (is_sent) {
    return;
  }
  if (statement.requirement != EndpointRequirement::kOpenTransaction) {
    // Another VM then sends the statement elsewhere.
    FailStatement(session,
                  session.is_forwarded ? StatementError::kWrongEndpoint
                                       : StatementError::kBusy,
                  kStoppingReason);
    return;
  }
  // It may wait for session values on the transaction's connection.
  statement.connections.clear();
  if (PooledConnection* connection = FindConnection(session.connection)) {
    AbortTransaction(session, *connection, "stopping", kStoppingReason);
  } else {
    session.connection = 0;
    FailStatement(session, StatementError::kAborted, kStoppingReason);
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RefuseSession(CallerSession& session) {
  D::AppendError(net_.GetCallerBuffer(session.id), StatementError::kBusy,
                 kStoppingReason);
  EndSession(session);
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_DRAIN_H_
