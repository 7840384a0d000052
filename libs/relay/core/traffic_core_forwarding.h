#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_FORWARDING_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_FORWARDING_H_

// Statements that are forwarded between VMs. While VMs outnumber the
// connections of an endpoint, a few VMs hold them, and the others forward their
// statements to a holder. Only the VM that has the caller's session retries;
// only the holder queues. Included by traffic_core.h.

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::OpenForwardedSession(uint64_t id) {
  OpenSession(id);
  FindSession(id)->is_forwarded = true;
  ++forwarded_session_count_;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleForwardedFrame(uint64_t id,
                                             std::string_view frame) {
  CallerSession* session = FindSession(id);
  if (session == nullptr || session->closing) {
    return;
  }
  ForwardedMessage message;
  if (!D::DecodeForwarded(frame, message)) {
    RejectCaller(id, StatementError::kMalformed, "message not understood");
    return;
  }
  if (message.kind == ForwardedMessageKind::kPing) {
    D::AppendPong(net_.GetCallerBuffer(id));
    return;
  }
  if (session->IsBusy()) {
    AddToBacklog(*session, frame);
    return;
  }
  session->last_active = net_.Now();
  if (message.kind == ForwardedMessageKind::kOpen) {
    AcceptForwardedSession(*session, message);
    return;
  }
  if (!session->opened) {
    RejectCaller(id, StatementError::kMalformed, "no endpoint was named");
    return;
  }
  if (message.kind == ForwardedMessageKind::kStatement) {
    SubmitForwarded(*session, message.header, message.message);
    return;
  }
  if (message.message.statement.kind == StatementKind::kReset) {
    session->values.clear();
    session->prepared.clear();
    held_text_.Release(std::exchange(session->held_bytes, 0));
    session->value_bytes = 0;
    ReplyLocally(*session);
    return;
  }
  HandleStatement(*session, message.message);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::AcceptForwardedSession(
    CallerSession& session,
    const ForwardedMessage& message) {
  auto route = std::make_shared<DatabaseRoute>();
  route->database = message.endpoint;
  route->service.value = message.service;
  session.database = message.endpoint;
  session.forwarded_to.value = message.endpoint;
  session.route = std::move(route);
  session.opened = true;
  D::AppendReady(net_.GetCallerBuffer(session.id), TransactionStatus::kIdle,
                 {});
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::SubmitForwarded(CallerSession& session,
                                        const ForwardingHeader& header,
                                        const CallerMessage& message) {
  const bool in_transaction =
      header.requirement == EndpointRequirement::kOpenTransaction;
  if (session.transaction == TransactionPhase::kLost) {
    session.transaction = message.statement.kind == StatementKind::kCommit
                              ? TransactionPhase::kNone
                              : TransactionPhase::kFailed;
    ReplyError(session, StatementError::kAborted, "transaction rolled back");
    return;
  }
  if (in_transaction != (session.transaction == TransactionPhase::kOpen)) {
    ReplyError(session, StatementError::kMalformed,
               "the transaction is in another state");
    return;
  }
  ActiveStatement statement;
  if (!ParseStatement(session, message, statement)) {
    return;
  }
  if (!in_transaction) {
    session.team.value = header.team;
  }
  if (header.requirement == EndpointRequirement::kReadWriteTransaction ||
      header.requirement == EndpointRequirement::kReadTransaction) {
    session.transaction = TransactionPhase::kDeferred;
    session.transaction_reads_only =
        header.requirement == EndpointRequirement::kReadTransaction;
    session.transaction_used = false;
    session.transaction_wrote = false;
    session.transaction_began_at = net_.Now();
  }
  ++counters_.run_for_peers;
  statement.base_requirement = header.requirement;
  statement.required_point = header.required_point;
  statement.priority = header.priority;
  statement.config_version = header.config_version;
  AcceptStatement(session, std::move(statement),
                  std::max(Duration(0), header.time_left - kForwardingMargin));
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::DispatchForwarded(CallerSession& session) {
  ActiveStatement& statement = session.statement;
  statement.requirement = statement.base_requirement;
  EndpointPool* pool = FindPool(session.forwarded_to);
  if (pool == nullptr || !TakesNewStatements(*pool) ||
      pool->entry.service != session.route->service) {
    FailStatement(session, StatementError::kWrongEndpoint,
                  "the endpoint is not in use");
    return;
  }
  if (IsHeldBack(session, session.forwarded_to)) {
    ++counters_.commits_held;
    FailStatement(session, StatementError::kNotPrimary,
                  "the primary is being replaced");
    return;
  }
  // A read can go to another endpoint; a statement that requires the primary
  // waits for this one or for its successor.
  if (pool->IsBackedOff(net_.Now()) &&
      !RequiresPrimary(statement.requirement)) {
    FailStatement(session, StatementError::kWrongEndpoint,
                  "the endpoint does not answer");
    return;
  }
  if (statement.required_point && pool->HasPersistentLag() &&
      pool->IsBehind(*statement.required_point, net_.Now())) {
    FailStatement(session, StatementError::kBehind,
                  "the endpoint is known to be behind");
    return;
  }
  EnqueueStatement(*pool, session);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RetryForwarded(CallerSession& session,
                                       StatementError error,
                                       Duration delay) {
  const EndpointPool* pool = FindPool(session.forwarded_to);
  const bool may_run_here = (error == StatementError::kUnknownStatement ||
                             error == StatementError::kBusy) &&
                            session.statement.attempts < kMaxStatementAttempts;
  const bool answers =
      pool != nullptr && (!pool->IsBackedOff(net_.Now()) ||
                          RequiresPrimary(session.statement.requirement));
  if (!may_run_here || !answers) {
    const bool is_told =
        GuaranteesNoEffect(error) || error == StatementError::kUnknownStatement;
    const bool may_run_elsewhere =
        !answers && (error == StatementError::kBusy ||
                     error == StatementError::kUnknownStatement);
    FailStatement(session,
                  may_run_elsewhere ? StatementError::kWrongEndpoint
                  : is_told         ? error
                                    : StatementError::kBusy,
                  "not run by the endpoint");
    return;
  }
  ScheduleRetry(session, delay);
}

template <ForwardingDialect D, class N>
const EndpointHolder* TrafficCore<D, N>::ChooseHolder(
    const EndpointPool& pool,
    const TeamId& team) const {
  if (!pool.IsForwarding()) {
    return nullptr;
  }
  const std::vector<EndpointHolder>& peers = pool.holders->peers;
  const auto answers = [this](const EndpointHolder& it) {
    return !IsHolderBackedOff(it.vm);
  };
  if (!team.IsEmpty()) {
    // All VMs choose the same holder for a team, whose connections are found
    // again there.
    const EndpointHolder* best = nullptr;
    uint64_t best_rank = 0;
    const size_t n = std::min<size_t>(peers.size(), kHoldersPerEndpoint);
    for (size_t it = 0; it < n; ++it) {
      const uint64_t rank = RankForTeam(team, pool.entry.id, peers[it].vm);
      if (answers(peers[it]) && (best == nullptr || rank > best_rank)) {
        best = &peers[it];
        best_rank = rank;
      }
    }
    if (best != nullptr) {
      return best;
    }
  }
  const auto it = std::find_if(peers.begin(), peers.end(), answers);
  return it == peers.end() ? nullptr : &*it;
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::IsHolderBackedOff(const VmId& vm) const {
  const auto it = holder_states_.find(vm);
  return it != holder_states_.end() && net_.Now() < it->second.backoff_until;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RecordHolderActivity(const VmId& vm) {
  HolderState& state = holder_states_[vm];
  state.heard_at = net_.Now();
  state.backoff_until = {};
  state.failures = 0;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RecordHolderFailure(const VmId& vm,
                                            std::string_view reason) {
  HolderState& state = holder_states_[vm];
  const Duration backoff =
      std::min(kInitialHolderBackoff * (1 << std::min(state.failures, 4U)),
               kMaxHolderBackoff);
  state.backoff_until = net_.Now() + backoff;
  ++state.failures;
  ++counters_.holder_failures;
  LogEvent(Event::kHolderFailureObserved,
           {{"vm", vm.value},
            {"reason", std::string(reason)},
            {"failures", std::to_string(state.failures)}});
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::CloseUnlistedHolders(EndpointPool& pool) {
  const std::vector<uint64_t> ids = pool.connections;
  for (const uint64_t it : ids) {
    const PooledConnection* connection = FindConnection(it);
    if (connection != nullptr && connection->IsForwarded() &&
        connection->state == ConnectionState::kIdle &&
        !pool.IsListedHolder(connection->holder)) {
      CloseEndpointConnection(it);
    }
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::AppendForwardingHeader(PooledConnection& connection,
                                               const CallerSession& session) {
  const ActiveStatement& statement = session.statement;
  ForwardingHeader header;
  header.requirement = statement.requirement;
  header.required_point = statement.required_point;
  header.priority = statement.priority;
  header.time_left = statement.deadline - net_.Now();
  header.config_version = statement.config_version;
  header.team = session.team.value;
  D::AppendForwardingHeader(net_.GetEndpointBuffer(connection.id), header);
  ++counters_.forwarded;
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::CheckHolder(PooledConnection& connection,
                                    ActiveStatement& statement) {
  const TimePoint now = net_.Now();
  const bool responds =
      holder_states_[connection.holder].heard_at >= statement.holder_pinged_at;
  if (!responds && now - statement.holder_pinged_at < kHolderPingTimeout) {
    return true;
  }
  if (!responds) {
    if (!IsHolderBackedOff(connection.holder)) {
      RecordHolderFailure(connection.holder, "silent");
    }
    return false;
  }
  statement.holder_pinged_at = now;
  D::AppendPing(net_.GetEndpointBuffer(connection.id));
  return true;
}

template <ForwardingDialect D, class N>
size_t TrafficCore<D, N>::CountSessions() const {
  const size_t callers = sessions_.size() - forwarded_session_count_;
  if (drain_phase_ == DrainPhase::kNone || forwarded_session_count_ == 0) {
    return callers;
  }
  // The process ends when the last session has ended. Other VMs close theirs
  // only when they know that this one leaves.
  return callers +
         static_cast<size_t>(std::count_if(
             sessions_.begin(), sessions_.end(), [](const auto& row) {
               const CallerSession& session = row.second;
               return session.is_forwarded &&
                      (session.IsBusy() ||
                       session.transaction != TransactionPhase::kNone);
             }));
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_FORWARDING_H_
