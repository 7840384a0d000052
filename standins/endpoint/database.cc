#include "standins/endpoint/database.h"

#include <algorithm>

namespace magnoliareel::standin {
namespace {

EndpointAnswer MakeError(Error error) {
  EndpointAnswer answer;
  answer.ec = error;
  return answer;
}

EndpointAnswer MakeStatementFailure(std::string reason) {
  EndpointAnswer answer;
  answer.ec = Error::kStatementFailed;
  answer.answer = std::move(reason);
  return answer;
}

/** Returns whether a call is rejected outside the term in which it was sent. */
bool IsFenced(EndpointVerb verb) {
  switch (verb) {
    case EndpointVerb::kRead:
    case EndpointVerb::kWrite:
    case EndpointVerb::kBegin:
    case EndpointVerb::kCommit:
    case EndpointVerb::kRollback:
    case EndpointVerb::kSettle:
    case EndpointVerb::kReplicate:
      return true;
    default:
      return false;
  }
}

bool NeedsPrimary(EndpointVerb verb) {
  return IsFenced(verb) && verb != EndpointVerb::kRead &&
         verb != EndpointVerb::kRollback;
}

}  // namespace

EndpointAnswer Database::Handle(const EndpointCall& call) {
  EndpointAnswer answer = Dispatch(call);
  answer.request = call.request;
  answer.report = GetReport();
  return answer;
}

EndpointReport Database::GetReport() const {
  return {role_, term_, GetLast(), lineage_, is_leaving_};
}

void Database::Restart() {
  role_ = EndpointRole::kReplica;
  is_leaving_ = false;
  primary_address_.clear();
  connections_.clear();
}

void Database::CloseClientConnections(std::string_view client) {
  std::erase_if(connections_, [client](const auto& it) {
    return it.second.client == client;
  });
}

void Database::EndTransaction(Connection& connection) {
  connection.is_in_transaction = false;
  connection.statements.clear();
}

EndpointAnswer Database::Dispatch(const EndpointCall& call) {
  if (IsFenced(call.verb) && call.term != term_) {
    return MakeError(Error::kStaleTerm);
  }
  if (NeedsPrimary(call.verb) && role_ != EndpointRole::kPrimary) {
    return MakeError(Error::kNotPrimary);
  }
  switch (call.verb) {
    case EndpointVerb::kConnect:
      return OpenConnection(call);
    case EndpointVerb::kClose:
      return CloseConnection(call.connection);
    case EndpointVerb::kRead:
    case EndpointVerb::kWrite:
    case EndpointVerb::kBegin:
    case EndpointVerb::kCommit:
    case EndpointVerb::kRollback:
      return RunStatement(call);
    case EndpointVerb::kSettle:
      return SettleRequest(call);
    case EndpointVerb::kWatch:
      return {};
    case EndpointVerb::kAdopt:
      return HandleAdopt(call);
    case EndpointVerb::kPromote:
      return HandlePromote(call);
    case EndpointVerb::kFollow:
      return HandleFollow(call);
    case EndpointVerb::kReplicate:
      return ServeReplication(call);
  }
  return MakeError(Error::kMalformedMessage);
}

EndpointAnswer Database::OpenConnection(const EndpointCall& call) {
  if (closed_before_open_.erase(call.connection) > 0) {
    return MakeError(Error::kConnectionLost);
  }
  if (connections_.size() >= max_connections_) {
    return MakeError(Error::kTooManyConnections);
  }
  connections_.emplace(call.connection, Connection{call.client, false, {}});
  return {};
}

EndpointAnswer Database::CloseConnection(const ConnectionId& connection) {
  if (connections_.erase(connection) == 0) {
    closed_before_open_.insert(connection);
  }
  return {};
}

EndpointAnswer Database::RunStatement(const EndpointCall& call) {
  const auto it = connections_.find(call.connection);
  if (it == connections_.end()) {
    return MakeError(Error::kConnectionLost);
  }
  Connection& connection = it->second;
  switch (call.verb) {
    case EndpointVerb::kRead:
      return RunRead(call, connection);
    case EndpointVerb::kWrite:
      return RunWrite(call, connection);
    case EndpointVerb::kBegin:
      return Begin(call, connection);
    case EndpointVerb::kCommit:
      return Commit(call, connection);
    default:
      return Rollback(connection);
  }
}

EndpointAnswer Database::RunRead(const EndpointCall& call,
                                 const Connection& connection) {
  const auto statement = ParseStatement(call.statement);
  if (!statement || statement->action != StatementAction::kGet) {
    return MakeStatementFailure("not a reading statement");
  }
  Records overlay;
  overlay[statement->key] = Read(statement->key);
  for (const std::string& it : connection.statements) {
    ApplyStatement(it, overlay);
  }
  EndpointAnswer answer;
  answer.answer = overlay[statement->key];
  return answer;
}

EndpointAnswer Database::RunWrite(const EndpointCall& call,
                                  Connection& connection) {
  const auto statement = ParseStatement(call.statement);
  if (!statement || !IsWrite(*statement)) {
    return MakeStatementFailure("not a writing statement");
  }
  if (connection.is_in_transaction) {
    connection.statements.push_back(call.statement);
    return {};
  }
  const std::vector<std::string> statements = {call.statement};
  if (auto recorded = FindRecordedResult(call, statements)) {
    return *recorded;
  }
  return Append(call, statements, "ok");
}

EndpointAnswer Database::Begin(const EndpointCall& /*call*/,
                               Connection& connection) {
  if (connection.is_in_transaction) {
    return MakeError(Error::kTransactionOpen);
  }
  connection.is_in_transaction = true;
  return {};
}

EndpointAnswer Database::Commit(const EndpointCall& call,
                                Connection& connection) {
  if (!connection.is_in_transaction) {
    return MakeError(Error::kNoTransaction);
  }
  if (auto recorded = FindRecordedResult(call, connection.statements)) {
    EndTransaction(connection);
    return *recorded;
  }
  std::vector<std::string> statements = std::move(connection.statements);
  EndTransaction(connection);
  return Append(call, std::move(statements), "committed");
}

EndpointAnswer Database::Rollback(Connection& connection) {
  if (!connection.is_in_transaction) {
    return MakeError(Error::kNoTransaction);
  }
  EndTransaction(connection);
  return {};
}

EndpointAnswer Database::SettleRequest(const EndpointCall& call) {
  const auto it = recorded_results_.find(call.request);
  if (it == recorded_results_.end()) {
    EndpointCall record = call;
    record.is_recorded = true;
    EndpointAnswer answer = Append(record, {}, {});
    answer.ec = Error::kRequestVoid;
    return answer;
  }
  EndpointAnswer answer;
  answer.point = it->second.point;
  answer.answer = it->second.answer;
  if (it->second.IsVoid()) {
    answer.ec = Error::kRequestVoid;
  }
  return answer;
}

EndpointAnswer Database::HandleAdopt(const EndpointCall& call) {
  if (call.term < term_) {
    return MakeError(Error::kStaleTerm);
  }
  AdoptTerm(call.term);
  return {};
}

EndpointAnswer Database::HandlePromote(const EndpointCall& call) {
  if (call.term != term_) {
    return MakeError(Error::kStaleTerm);
  }
  if (role_ == EndpointRole::kPrimary) {
    return {};
  }
  role_ = EndpointRole::kPrimary;
  primary_address_.clear();
  lineage_.push_back({term_, GetLast().position});
  log_.push_back({term_, {}, {}, {}});
  return {};
}

EndpointAnswer Database::HandleFollow(const EndpointCall& call) {
  if (call.term < term_ ||
      (call.term == term_ && role_ == EndpointRole::kPrimary)) {
    return MakeError(Error::kStaleTerm);
  }
  AdoptTerm(call.term);
  primary_address_ = call.primary_address;
  return {};
}

EndpointAnswer Database::ServeReplication(const EndpointCall& call) const {
  LogPosition common = std::min(call.after.position, GetLast().position);
  while (common.value > 0 && GetTermAt(common) > call.after.term) {
    --common.value;
  }
  EndpointAnswer answer;
  if (common != call.after.position || GetTermAt(common) != call.after.term) {
    if (common == call.after.position) {
      --common.value;
    }
    answer.ec = Error::kDiverged;
    answer.point = {GetTermAt(common), common};
    return answer;
  }
  const auto first = log_.begin() + static_cast<std::ptrdiff_t>(common.value);
  const auto n = std::min<std::ptrdiff_t>(kMaxBatchRecords, log_.end() - first);
  answer.records.assign(first, first + n);
  return answer;
}

std::optional<EndpointCall> Database::MakeReplicateCall() const {
  if (role_ == EndpointRole::kPrimary || primary_address_.empty()) {
    return std::nullopt;
  }
  EndpointCall call;
  call.verb = EndpointVerb::kReplicate;
  call.term = term_;
  call.after = GetLast();
  return call;
}

void Database::ApplyReplicationAnswer(const EndpointCall& call,
                                      const EndpointAnswer& answer) {
  const bool is_current = role_ == EndpointRole::kReplica &&
                          call.term == term_ && call.after == GetLast();
  if (!is_current) {
    return;
  }
  if (answer.ec == Error::kDiverged) {
    Truncate(answer.point.position);
    return;
  }
  if (answer.ec) {
    return;
  }
  lineage_ = answer.report.lineage;
  for (const LogRecord& it : answer.records) {
    log_.push_back(it);
    ApplyRecord(it, GetLast().position);
  }
}

std::string Database::Read(std::string_view key) const {
  const auto it = records_.find(key);
  return it == records_.end() ? std::string() : it->second;
}

std::optional<EndpointAnswer> Database::FindRecordedResult(
    const EndpointCall& call,
    std::span<const std::string> statements) const {
  const auto it = recorded_results_.find(call.request);
  if (!call.is_recorded || it == recorded_results_.end()) {
    return std::nullopt;
  }
  const RecordedResult& recorded = it->second;
  if (recorded.IsVoid()) {
    return MakeError(Error::kRequestVoid);
  }
  if (!std::equal(statements.begin(), statements.end(),
                  recorded.statements.begin(), recorded.statements.end())) {
    return MakeError(Error::kRequestIdReused);
  }
  EndpointAnswer answer;
  answer.answer = recorded.answer;
  answer.point = recorded.point;
  return answer;
}

void Database::AdoptTerm(Term term) {
  if (term <= term_) {
    return;
  }
  term_ = term;
  role_ = EndpointRole::kReplica;
  primary_address_.clear();
  for (auto& [id, connection] : connections_) {
    EndTransaction(connection);
  }
}

EndpointAnswer Database::Append(const EndpointCall& call,
                                std::vector<std::string> statements,
                                std::string answer_text) {
  LogRecord record{term_, call.is_recorded ? call.request : std::string(),
                   std::move(statements), std::move(answer_text)};
  log_.push_back(record);
  ApplyRecord(record, GetLast().position);
  EndpointAnswer answer;
  answer.answer = record.answer;
  answer.point = GetLast();
  return answer;
}

void Database::ApplyRecord(const LogRecord& record, LogPosition position) {
  for (const std::string& it : record.statements) {
    ApplyStatement(it, records_);
  }
  if (!record.request.empty()) {
    recorded_results_[record.request] = RecordedResult{
        record.answer, {record.term, position}, record.statements};
  }
}

void Database::Truncate(LogPosition position) {
  log_.resize(position.value);
  std::erase_if(lineage_, [position](const TermStart& it) {
    return it.start >= position;
  });
  records_.clear();
  recorded_results_.clear();
  for (size_t n = 0; n < log_.size(); ++n) {
    ApplyRecord(log_[n], LogPosition{n + 1});
  }
}

Term Database::GetTermAt(LogPosition position) const {
  return position.value == 0 ? Term{} : log_[position.value - 1].term;
}

LogPoint Database::GetLast() const {
  const LogPosition position{log_.size()};
  return {GetTermAt(position), position};
}

}  // namespace magnoliareel::standin
