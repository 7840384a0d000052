#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_STATEMENTS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_STATEMENTS_H_

// Acceptance of a caller's statement: its requirement and its deadline.
// Included by traffic_core.h.

#include <limits>
#include <optional>
#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::SubmitStatement(CallerSession& session,
                                        const CallerMessage& message) {
  ActiveStatement statement;
  if (!ParseStatement(session, message, statement)) {
    return;
  }
  const bool commits = statement.kind == StatementKind::kCommit;
  if (session.transaction == TransactionPhase::kFailed) {
    session.transaction = TransactionPhase::kNone;
    ReplyError(session, StatementError::kAborted, "the transaction has failed");
    return;
  }
  if (commits && session.transaction == TransactionPhase::kNone) {
    ReplyError(session, StatementError::kMalformed, "no transaction is open");
    return;
  }
  if (session.transaction == TransactionPhase::kNone &&
      !RefreshRoute(session)) {
    return;
  }
  // Nothing of a deferred transaction has run under the former team.
  if (session.transaction == TransactionPhase::kDeferred &&
      !RefreshTeam(session)) {
    return;
  }
  if (statement.writes && session.transaction_reads_only &&
      session.transaction != TransactionPhase::kNone) {
    ReplyError(session, StatementError::kNotPrimary,
               "the transaction only reads");
    return;
  }
  const bool at_primary = session.route->consistency == Consistency::kPrimary;
  if (session.transaction == TransactionPhase::kOpen) {
    statement.base_requirement = EndpointRequirement::kOpenTransaction;
  } else if (session.transaction == TransactionPhase::kDeferred) {
    statement.began_at = session.transaction_began_at;
    statement.base_requirement =
        session.transaction_reads_only && !at_primary
            ? EndpointRequirement::kReadTransaction
            : EndpointRequirement::kReadWriteTransaction;
  } else if (statement.writes) {
    statement.base_requirement = EndpointRequirement::kWrite;
  } else {
    statement.base_requirement = at_primary || !FitsBehindLogPoint(statement)
                                     ? EndpointRequirement::kPrimaryRead
                                     : EndpointRequirement::kRead;
  }
  statement.priority = session.route->priority;
  statement.config_version = view_->routes->version;
  const Duration timeout = session.route->statement_timeout;
  AcceptStatement(session, std::move(statement), timeout);
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::ParseStatement(CallerSession& session,
                                       const CallerMessage& message,
                                       ActiveStatement& out) {
  const ParsedStatement& parsed = message.statement;
  out.request_id = message.request_id;
  out.text = parsed.text;
  out.kind = parsed.kind;
  out.writes = parsed.kind == StatementKind::kWrite;
  if (parsed.kind != StatementKind::kExecute) {
    return true;
  }
  const auto it = session.prepared.find(parsed.name);
  if (it == session.prepared.end()) {
    ReplyError(session, StatementError::kUnknownStatement, parsed.name);
    return false;
  }
  const auto append = [&](std::string& buf) {
    D::AppendExecute(buf, message.request_id, std::nullopt,
                     kLongestPooledStatementName, parsed.argument);
  };
  if (!FitsMessage(message.request_id.size() + parsed.argument.size(),
                   append)) {
    ReplyError(session, StatementError::kTooLarge,
               "the execution is too long to be sent");
    return false;
  }
  out.prepared = it->second;
  out.arguments = parsed.argument;
  out.writes = it->second->writes;
  return true;
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::FitsBehindLogPoint(const ActiveStatement& statement) {
  constexpr LogPoint kLongest{
      Term{std::numeric_limits<uint64_t>::max()},
      LogPosition{std::numeric_limits<uint64_t>::max()}};
  const auto append = [&](std::string& buf) {
    if (statement.kind == StatementKind::kExecute) {
      D::AppendExecute(buf, statement.request_id, kLongest,
                       kLongestPooledStatementName, statement.arguments);
    } else {
      D::AppendForward(buf, statement.request_id, kLongest, statement.text);
    }
  };
  return FitsMessage(statement.request_id.size() + statement.text.size(),
                     append);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::AcceptStatement(CallerSession& session,
                                        ActiveStatement statement,
                                        Duration timeout) {
  const TimePoint now = net_.Now();
  statement.id = next_id_++;
  statement.received_at = now;
  if (statement.began_at == TimePoint{}) {
    statement.began_at = now;
  }
  statement.deadline = now + timeout;
  statement.requirement = statement.base_requirement;
  const size_t text_bytes = statement.text.size() + statement.arguments.size();
  session.statement = std::move(statement);
  if (text_bytes > kShortLineBytes) {
    if (!statement_text_.Replace(0, text_bytes)) {
      FailStatement(session, StatementError::kBusy,
                    "no memory for the statement");
      return;
    }
    session.statement.charged_bytes = text_bytes;
  }
  ScheduleTimer({session.statement.deadline,
                 TimerKind::kStatementDeadline,
                 session.id,
                 session.statement.id,
                 {}});
  if (ChargeOperation(session)) {
    Dispatch(session);
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_STATEMENTS_H_
