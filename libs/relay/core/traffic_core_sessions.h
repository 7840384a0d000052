#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_SESSIONS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_SESSIONS_H_

// Messages from callers. Included by traffic_core.h.

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
TrafficCore<D, N>::TrafficCore(N& net, TrafficOptions options)
    : net_(net),
      options_(std::move(options)),
      served_log_limiter_(kMaxServedLogLinesPerSecond),
      allowances_(*this, VmId{options_.vm}, options_.first_permit_sequence),
      held_text_(options_.memory.held_text, kReservedSessionTextBytes),
      statement_text_(options_.memory.statement_text),
      placement_random_(std::hash<std::string>()(options_.vm)) {
  // Checked here because N is incomplete where it declares its core.
  static_assert(TrafficNet<N>);
}

template <ForwardingDialect D, class N>
CallerSession* TrafficCore<D, N>::FindSession(uint64_t id) {
  const auto it = sessions_.find(id);
  return it == sessions_.end() ? nullptr : &it->second;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::OpenSession(uint64_t id) {
  CallerSession& session = sessions_[id];
  session.id = id;
  session.last_active = net_.Now();
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleCallerFrame(uint64_t id, std::string_view frame) {
  CallerSession* session = FindSession(id);
  if (session == nullptr || session->closing) {
    return;
  }
  if (session->IsBusy()) {
    AddToBacklog(*session, frame);
    return;
  }
  session->last_active = net_.Now();
  CallerMessage message;
  if (!D::DecodeCaller(frame, message)) {
    RejectCaller(id, StatementError::kMalformed, "message not understood");
    return;
  }
  switch (message.kind) {
    case CallerRequestKind::kOpen:
      OpenDatabase(*session, message);
      return;
    case CallerRequestKind::kStatement:
      if (!session->opened) {
        RejectCaller(id, StatementError::kMalformed, "no database was named");
        return;
      }
      HandleStatement(*session, message);
      return;
    case CallerRequestKind::kClose:
      EndSession(*session);
      return;
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RejectCaller(uint64_t id,
                                     StatementError error,
                                     std::string_view reason) {
  CallerSession* session = FindSession(id);
  if (session == nullptr) {
    return;
  }
  LogEvent(Event::kCallerRejected,
           {{"caller", session->caller}, {"reason", std::string(reason)}});
  if (session->opened) {
    ReplyError(*session, error, reason);
    return;
  }
  D::AppendError(net_.GetCallerBuffer(id), error, reason);
  EndSession(*session);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::OpenDatabase(CallerSession& session,
                                     const CallerMessage& message) {
  if (session.opened) {
    ReplyError(session, StatementError::kMalformed,
               "the session is open already");
    return;
  }
  session.key = DigestKey(message.caller);
  session.database = message.database;
  if (IsRefusing()) {
    RefuseSession(session);
    return;
  }
  if (view_->routes->version == 0) {
    // The name may turn out to be a key, so it is not kept.
    sessions_awaiting_config_.push_back(session.id);
    return;
  }
  if (view_->routes->teams == nullptr) {
    session.caller = message.caller;
  }
  AcceptSession(session);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::AcceptSession(CallerSession& session) {
  if (!RefreshRoute(session)) {
    return;
  }
  session.opened = true;
  D::AppendReady(net_.GetCallerBuffer(session.id), TransactionStatus::kIdle,
                 {});
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::RefreshRoute(CallerSession& session) {
  session.route = view_->routes->Find(session.database);
  if (session.route != nullptr) {
    return RefreshTeam(session);
  }
  LogEvent(Event::kDatabaseUnknown,
           {{"database", session.database},
            {"caller", session.caller},
            {"config", std::to_string(view_->routes->version)}});
  std::string& out = net_.GetCallerBuffer(session.id);
  D::AppendError(out, StatementError::kUnknownDatabase, session.database);
  if (session.opened) {
    D::AppendReady(out, TransactionStatus::kIdle, {});
  }
  EndSession(session);
  return false;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleStatement(CallerSession& session,
                                        const CallerMessage& message) {
  if (!IsAuthorized(session)) {
    // Closing the session rolls its transaction back.
    EndUnauthorized(session);
    return;
  }
  const ParsedStatement& parsed = message.statement;
  const bool ends = parsed.kind == StatementKind::kCommit ||
                    parsed.kind == StatementKind::kRollback;
  if (session.transaction == TransactionPhase::kLost &&
      parsed.kind != StatementKind::kRollback) {
    session.transaction =
        ends ? TransactionPhase::kNone : TransactionPhase::kFailed;
    LogEvent(Event::kStatementRefused,
             {{"request", std::string(message.request_id)},
              {"refusal", "aborted"},
              {"reason", "transaction lost"},
              {"database", session.database}});
    ReplyError(session, StatementError::kAborted, "transaction rolled back");
    return;
  }
  if (session.transaction == TransactionPhase::kFailed && !ends) {
    ReplyError(session, StatementError::kMalformed,
               "the transaction has failed");
    return;
  }
  session.prepares_statements = parsed.kind == StatementKind::kSetValue ||
                                parsed.kind == StatementKind::kPrepareRead ||
                                parsed.kind == StatementKind::kPrepareWrite ||
                                parsed.kind == StatementKind::kDeallocate;
  switch (parsed.kind) {
    case StatementKind::kBegin:
    case StatementKind::kBeginRead:
      HandleBegin(session, parsed.kind == StatementKind::kBeginRead);
      return;
    case StatementKind::kRollback:
      HandleRollback(session);
      return;
    case StatementKind::kSetValue:
      HandleSetValue(session, parsed);
      return;
    case StatementKind::kPrepareRead:
    case StatementKind::kPrepareWrite:
      HandlePrepare(session, parsed);
      return;
    case StatementKind::kReset:
      return;
    case StatementKind::kDeallocate:
      HandleDeallocate(session, parsed.name);
      return;
    case StatementKind::kCommit:
    case StatementKind::kRead:
    case StatementKind::kWrite:
    case StatementKind::kExecute:
      SubmitStatement(session, message);
      return;
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleBegin(CallerSession& session, bool reads_only) {
  if (session.transaction != TransactionPhase::kNone) {
    ReplyError(session, StatementError::kMalformed,
               "a transaction is open already");
    return;
  }
  if (!RefreshRoute(session)) {
    return;
  }
  if (IsRefusing()) {
    ReplyError(session, StatementError::kBusy, kStoppingReason);
    return;
  }
  // BEGIN is deferred until the first statement: until then the transaction
  // occupies no connection and may still run at any endpoint.
  session.transaction = TransactionPhase::kDeferred;
  session.transaction_reads_only = reads_only;
  session.transaction_used = false;
  session.transaction_wrote = false;
  session.transaction_charged = false;
  session.transaction_began_at = net_.Now();
  ReplyLocally(session);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleRollback(CallerSession& session) {
  session.transaction = TransactionPhase::kNone;
  if (PooledConnection* connection =
          FindConnection(std::exchange(session.connection, 0))) {
    connection->session = 0;
    ReturnToPool(*connection);
  }
  ReplyLocally(session);
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::ReserveText(CallerSession& session,
                                    size_t freed,
                                    size_t needed) {
  // A VM that forwards holds as much for a caller, and names of its own.
  const size_t limit =
      session.is_forwarded ? 2 * kMaxSessionTextBytes : kMaxSessionTextBytes;
  const size_t held = session.held_bytes - freed + needed;
  if (held > limit) {
    ReplyError(session, StatementError::kTooLarge,
               "the session's values and prepared statements are too large");
    return false;
  }
  if (!held_text_.Replace(session.held_bytes, held)) {
    ReplyError(session, StatementError::kBusy,
               "no memory for more values and prepared statements");
    return false;
  }
  session.held_bytes = held;
  return true;
}

template <ForwardingDialect D, class N>
template <class F>
bool TrafficCore<D, N>::FitsMessage(size_t text_bytes, F append) {
  if (text_bytes + kMaxEncodingBytes <= D::kMaxMessageBytes) {
    return true;
  }
  std::string buf;
  append(buf);
  return buf.size() <= D::kMaxMessageBytes;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleSetValue(CallerSession& session,
                                       const ParsedStatement& parsed) {
  const auto it = session.values.find(parsed.name);
  const size_t freed =
      it == session.values.end() ? 0 : CountHeldBytes(it->first, it->second);
  const size_t needed = CountHeldBytes(parsed.name, parsed.argument);
  const size_t value_bytes = session.value_bytes - freed + needed;
  if (value_bytes > kMaxSessionValueBytes) {
    ReplyError(session, StatementError::kTooLarge,
               "the session's values are too large");
    return;
  }
  if (!ReserveText(session, freed, needed)) {
    return;
  }
  session.value_bytes = value_bytes;
  session.values.insert_or_assign(std::string(parsed.name),
                                  std::string(parsed.argument));
  ReplyLocally(session);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandlePrepare(CallerSession& session,
                                      const ParsedStatement& parsed) {
  const bool writes = parsed.kind == StatementKind::kPrepareWrite;
  const auto append = [&](std::string& out) {
    D::AppendPrepare(out, kLongestPooledStatementName, writes, parsed.argument);
  };
  if (!FitsMessage(parsed.argument.size(), append)) {
    ReplyError(session, StatementError::kTooLarge,
               "the statement is too long to be prepared");
    return;
  }
  const auto it = session.prepared.find(parsed.name);
  const size_t freed = it == session.prepared.end()
                           ? 0
                           : CountHeldBytes(it->first, it->second->shape);
  if (!ReserveText(session, freed,
                   CountHeldBytes(parsed.name, parsed.argument))) {
    return;
  }
  session.prepared.insert_or_assign(
      std::string(parsed.name),
      std::make_shared<const PreparedStatement>(
          PreparedStatement{writes, std::string(parsed.argument)}));
  ReplyLocally(session);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::HandleDeallocate(CallerSession& session,
                                         std::string_view name) {
  const auto it = session.prepared.find(name);
  if (it == session.prepared.end()) {
    ReplyError(session, StatementError::kUnknownStatement, name);
    return;
  }
  const size_t freed = CountHeldBytes(it->first, it->second->shape);
  session.held_bytes -= freed;
  held_text_.Release(freed);
  session.prepared.erase(it);
  ReplyLocally(session);
}

template <ForwardingDialect D, class N>
TransactionStatus TrafficCore<D, N>::GetCallerTransactionStatus(
    const CallerSession& session) const {
  switch (session.transaction) {
    case TransactionPhase::kNone:
      return TransactionStatus::kIdle;
    case TransactionPhase::kDeferred:
    case TransactionPhase::kOpen:
    case TransactionPhase::kLost:
      return TransactionStatus::kInTransaction;
    case TransactionPhase::kFailed:
      return TransactionStatus::kFailedTransaction;
  }
  return TransactionStatus::kIdle;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::FinishAnswer(CallerSession& session,
                                     std::optional<LogPoint> log_end) {
  D::AppendReady(net_.GetCallerBuffer(session.id),
                 GetCallerTransactionStatus(session), log_end);
  if (drain_phase_ != DrainPhase::kNone) {
    answered_sessions_.push_back(session.id);
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::ReplyLocally(CallerSession& session) {
  D::AppendComplete(net_.GetCallerBuffer(session.id), "-");
  FinishAnswer(session, {});
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::ReplyError(CallerSession& session,
                                   StatementError error,
                                   std::string_view reason) {
  D::AppendError(net_.GetCallerBuffer(session.id), error, reason);
  std::optional<LogPoint> log_end;
  if (const EndpointPool* pool = FindPool(session.forwarded_to);
      pool != nullptr && error == StatementError::kBehind) {
    // The other VM remembers how far the endpoint is behind.
    log_end = pool->GetAppliedPoint();
  }
  FinishAnswer(session, log_end);
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::IsBusy(uint64_t id) const {
  const auto it = sessions_.find(id);
  return it != sessions_.end() && it->second.IsBusy();
}

template <ForwardingDialect D, class N>
size_t TrafficCore<D, N>::GetBacklogBytes(uint64_t id) const {
  const auto it = sessions_.find(id);
  return it == sessions_.end() ? 0 : it->second.backlog_bytes;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::AddToBacklog(CallerSession& session,
                                     std::string_view frame) {
  session.backlog.emplace_back(frame);
  session.backlog_bytes += frame.size();
  if (session.backlog_bytes > kMaxBacklogBytes &&
      !std::exchange(session.is_paused, true)) {
    net_.PauseCaller(session.id);
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RunBacklog(uint64_t id) {
  // A statement that ends at once calls this again. Its successors are handled
  // by the first call, because their number must not decide the depth of the
  // stack.
  if (CallerSession* session = FindSession(id);
      session == nullptr || std::exchange(session->runs_backlog, true)) {
    return;
  }
  for (CallerSession* session = FindSession(id);
       session != nullptr && !session->IsBusy() && !session->backlog.empty();
       session = FindSession(id)) {
    const std::string frame = std::move(session->backlog.front());
    session->backlog.pop_front();
    session->backlog_bytes -= frame.size();
    if (session->backlog.empty() && std::exchange(session->is_paused, false)) {
      net_.ResumeCaller(id);
    }
    if (session->is_forwarded) {
      HandleForwardedFrame(id, frame);
    } else {
      HandleCallerFrame(id, frame);
    }
  }
  if (CallerSession* session = FindSession(id)) {
    session->runs_backlog = false;
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::EndSession(CallerSession& session) {
  session.closing = true;
  const uint64_t id = session.id;
  net_.CloseCaller(id);
  CloseSession(id);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::CloseSession(uint64_t id) {
  CallerSession* session = FindSession(id);
  if (session == nullptr) {
    return;
  }
  CancelPermit(*session);
  RemoveFromQueues(*session);
  for (const uint64_t it : session->statement.connections) {
    if (it == session->connection) {
      continue;
    }
    Abandon(it);
  }
  if (PooledConnection* connection =
          FindConnection(std::exchange(session->connection, 0))) {
    if (connection->pending_replies.empty()) {
      connection->session = 0;
      ReturnToPool(*connection);
    } else if (session->statement.kind == StatementKind::kCommit) {
      // The commit may still succeed; its reply is not needed.
      Abandon(connection->id);
    } else {
      // Closing the connection rolls the transaction back immediately.
      CloseEndpointConnection(connection->id);
    }
  }
  if (session->is_forwarded) {
    --forwarded_session_count_;
  }
  held_text_.Release(session->held_bytes);
  statement_text_.Release(session->statement.charged_bytes);
  std::erase(sessions_awaiting_config_, id);
  sessions_.erase(id);
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_SESSIONS_H_
