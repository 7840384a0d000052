#include "standins/group/group_model.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace magnoliareel {
namespace {

// Without CR LF.
constexpr size_t kMaxLineBytes = 1024 * 1024;

// Whether a statement that failed with the code leaves its transaction usable.
bool MeansNoRun(std::string_view code) {
  return code == "BUSY" || code == "NOSTMT" || code == "LAGGING";
}

std::string FormatPoint(const LogPoint& point) {
  return std::to_string(point.term.value) + "." +
         std::to_string(point.position.value);
}

}  // namespace

GroupModel::GroupModel(GroupOptions options, Output output, Timer timer)
    : options_(std::move(options)),
      output_(std::move(output)),
      timer_(std::move(timer)),
      random_(options_.seed) {
  for (uint32_t it = 0; it <= options_.replicas; ++it) {
    Member member;
    member.id = options_.service + "-" + std::to_string(++id_count_);
    member.is_primary = it == 0;
    member.term = Term{1};
    members_.push_back(std::move(member));
  }
}

GroupModel::Connection* GroupModel::FindConnection(uint64_t id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    return nullptr;
  }
  const Member& member = members_[it->second.member];
  return member.is_up && member.incarnation == it->second.incarnation
             ? &it->second
             : nullptr;
}

Duration GroupModel::AddJitter(Duration mean) {
  const double part = std::uniform_real_distribution<>(0.4, 1.6)(random_);
  return Duration(
      static_cast<int64_t>(static_cast<double>(mean.count()) * part));
}

void GroupModel::Open(size_t member, uint64_t connection) {
  if (members_[member].is_silent) {
    return;
  }
  if (!members_[member].is_up) {
    output_(connection, "");
    return;
  }
  Connection opened;
  opened.member = member;
  opened.incarnation = members_[member].incarnation;
  connections_[connection] = std::move(opened);
}

void GroupModel::Close(uint64_t connection) {
  connections_.erase(connection);
}

void GroupModel::Receive(uint64_t connection, std::string_view bytes) {
  Connection* it = FindConnection(connection);
  if (it == nullptr || it->has_overlong_line) {
    return;
  }
  it->input.append(bytes);
  size_t begin = 0;
  for (size_t end = it->input.find("\r\n"); end != std::string::npos;
       end = it->input.find("\r\n", begin)) {
    it->pending_lines.push_back(it->input.substr(begin, end - begin));
    begin = end + 2;
  }
  it->input.erase(0, begin);
  // A CR at the end may begin the line's end.
  if (it->input.size() > kMaxLineBytes + 1) {
    it->has_overlong_line = true;
    it->pending_lines.push_back(std::exchange(it->input, {}));
  }
  ProcessPendingLines(connection);
}

void GroupModel::ProcessPendingLines(uint64_t id) {
  for (Connection* it = FindConnection(id);
       it != nullptr && !it->is_busy && !it->pending_lines.empty();
       it = FindConnection(id)) {
    const std::string line = it->pending_lines.front();
    it->pending_lines.erase(it->pending_lines.begin());
    HandleLine(id, line);
  }
}

void GroupModel::HandleLine(uint64_t id, const std::string& line) {
  const bool is_open = connections_[id].is_open;
  if (line.size() > kMaxLineBytes) {
    Refuse(id, "TOOLARGE");
    return;
  }
  FieldReader fields(line);
  const auto word = fields.TakeNext();
  if (word == "TERMINATE" && fields.IsAtEnd()) {
    connections_.erase(id);
    output_(id, "");
  } else if (word == "STARTUP" && !is_open) {
    HandleStartup(id, fields);
  } else if (!is_open) {
    Refuse(id, "MALFORMED");
  } else {
    HandleQuery(id, word == "QUERY" ? fields.TakeLast() : std::nullopt);
  }
}

void GroupModel::HandleStartup(uint64_t id, FieldReader fields) {
  Connection& connection = connections_[id];
  Member& member = members_[connection.member];
  const auto service = fields.TakeNext();
  const auto caller = fields.TakeNext();
  const auto expected = fields.TakeLast();
  if (!caller || caller->empty()) {
    Refuse(id, "MALFORMED");
    return;
  }
  if (service != options_.service || (expected && expected != member.id)) {
    Refuse(id, "MISROUTED");
    return;
  }
  if (!options_.handshakes_wait && IsFull(connection.member)) {
    Refuse(id, "TOOMANY");
    return;
  }
  connection.caller = *caller;
  connection.is_busy = true;
  const Duration wait =
      options_.handshakes_wait
          ? options_.mean_run_time * (member.active_count / options_.slots)
          : Duration(0);
  ++member.active_count;
  timer_(options_.handshake_time + wait,
         [this, id, index = connection.member,
          incarnation = connection.incarnation] {
           ReleaseSlot(members_[index], incarnation);
           if (FindConnection(id) != nullptr) {
             FinishHandshake(id);
           }
         });
}

void GroupModel::FinishHandshake(uint64_t id) {
  Connection& connection = connections_[id];
  if (options_.handshakes_wait && IsFull(connection.member)) {
    Refuse(id, "TOOMANY");
    return;
  }
  connection.is_busy = false;
  connection.is_open = true;
  max_open_connections_ =
      std::max(max_open_connections_, CountOpen(connection.member));
  DrawForgetting(connection);
  output_(id, FormatReady(connection));
  ProcessPendingLines(id);
}

size_t GroupModel::CountOpen(size_t member) const {
  return static_cast<size_t>(std::count_if(
      connections_.begin(), connections_.end(), [member](const auto& row) {
        return row.second.member == member && row.second.is_open;
      }));
}

bool GroupModel::IsFull(size_t member) const {
  return CountOpen(member) >= options_.max_connections;
}

void GroupModel::Refuse(uint64_t id, std::string_view code) {
  const std::string member = members_[connections_[id].member].id;
  connections_.erase(id);
  output_(id, "ERROR " + std::string(code) + " " + member + "\r\n");
  output_(id, "");
}

void GroupModel::HandleQuery(uint64_t id,
                             std::optional<std::string_view> fields) {
  Connection& connection = connections_[id];
  const Member& member = members_[connection.member];
  GroupQuery query;
  const bool is_valid = fields && ParseGroupQuery(*fields, query);
  if (!is_valid || (connection.status == 'E' && !query.EndsTransaction())) {
    prepared_counts_.malformed += is_valid ? 0 : 1;
    Fail(id, "MALFORMED");
    return;
  }
  if (query.after && GetLastPoint(member, true) < *query.after) {
    Fail(id, "LAGGING");
    return;
  }
  HandleStatement(id, std::move(query));
}

void GroupModel::HandleStatement(uint64_t id, GroupQuery query) {
  Connection& connection = connections_[id];
  switch (query.verb) {
    case GroupVerb::kBegin:
    case GroupVerb::kBeginRead:
      Begin(id, query.verb == GroupVerb::kBegin);
      return;
    case GroupVerb::kRollback:
      Rollback(id);
      return;
    case GroupVerb::kReset:
      connection.values.clear();
      ForgetPrepared(connection);
      Complete(id, "", "-");
      return;
    case GroupVerb::kSet:
      SetValue(id, query);
      return;
    case GroupVerb::kPrepareRead:
    case GroupVerb::kPrepareWrite:
      Prepare(id, query);
      return;
    case GroupVerb::kDeallocate:
      Deallocate(id, query);
      return;
    case GroupVerb::kExecute:
      StartExecution(id, std::move(query));
      return;
    case GroupVerb::kCommit:
      if (connection.status == 'E') {
        connection.status = 'I';
        Fail(id, "ABORTED");
        return;
      }
      break;
    default:
      break;
  }
  RunInSlot(id, std::move(query), {});
}

void GroupModel::Begin(uint64_t id, bool is_read_write) {
  Connection& connection = connections_[id];
  if (connection.status != 'I') {
    Fail(id, "MALFORMED");
  } else if (is_read_write && !members_[connection.member].is_primary) {
    Fail(id, "READONLY");
  } else {
    connection.status = 'T';
    connection.is_read_write = is_read_write;
    connection.transaction = ++transaction_count_;
    Complete(id, "", "-");
  }
}

void GroupModel::Rollback(uint64_t id) {
  Connection& connection = connections_[id];
  connection.status = 'I';
  connection.writes.clear();
  connection.requests.clear();
  Complete(id, "", "-");
}

void GroupModel::RunInSlot(uint64_t id, GroupQuery query, std::string shape) {
  Connection& connection = connections_[id];
  Member& member = members_[connection.member];
  const uint32_t queue = options_.queue == 0 ? options_.slots : options_.queue;
  if (member.active_count >= options_.slots + queue) {
    Fail(id, "BUSY");
    return;
  }
  connection.is_busy = true;
  const Duration wait =
      options_.mean_run_time * (member.active_count / options_.slots);
  ++member.active_count;
  timer_(AddJitter(options_.mean_run_time) + wait,
         [this, id, index = connection.member,
          incarnation = connection.incarnation, query = std::move(query),
          shape = std::move(shape)] {
           ReleaseSlot(members_[index], incarnation);
           if (FindConnection(id) != nullptr) {
             Run(id, query, shape);
           }
         });
}

void GroupModel::ReleaseSlot(Member& member, uint64_t incarnation) {
  // A crash has already released the slots of the incarnation that it ended.
  // Releasing them again would make the count negative.
  if (member.incarnation == incarnation) {
    --member.active_count;
  }
}

void GroupModel::Run(uint64_t id, const GroupQuery& query, std::string shape) {
  Connection& connection = connections_[id];
  const bool is_command = query.verb != GroupVerb::kRead &&
                          query.verb != GroupVerb::kWrite &&
                          query.verb != GroupVerb::kCommit;
  if (is_command) {
    RunCommand(id, query);
    return;
  }
  const bool is_read_only_commit =
      query.verb == GroupVerb::kCommit && connection.writes.empty();
  if (connection.status == 'T' && connection.is_read_write &&
      !members_[connection.member].is_primary && !is_read_only_commit) {
    Fail(id, "READONLY");
    return;
  }
  if (query.verb == GroupVerb::kCommit) {
    Commit(id, query.request);
  } else if (query.verb == GroupVerb::kRead) {
    RunRead(id, query, std::move(shape));
  } else {
    RunWrite(id, query, std::move(shape));
  }
}

// STATUS, PAUSE, RESUME and DEMOTE.
void GroupModel::RunCommand(uint64_t id, const GroupQuery& query) {
  const size_t index = connections_[id].member;
  Member& member = members_[index];
  if (query.verb == GroupVerb::kPause && query.term > member.term) {
    member.paused_at_term = query.term;
  } else if (query.verb == GroupVerb::kDemote && query.term > member.term) {
    Demote(index);
  } else if (query.verb == GroupVerb::kResume) {
    member.paused_at_term = {};
    SynchronizeLog(index);
  }
  Complete(id, "ROW " + FormatStatus(member) + "\r\n", "-");
}

LogPoint GroupModel::GetLastPoint(const Member& member, bool applied) const {
  const size_t n = applied ? member.applied_count : member.log.size();
  return n == 0 ? LogPoint{Term{1}, {}} : commits_[member.log[n - 1]].point;
}

std::string GroupModel::FormatReady(const Connection& connection) const {
  return std::string("READY ") + connection.status + " " +
         FormatPoint(GetLastPoint(members_[connection.member], true)) + "\r\n";
}

std::string GroupModel::FormatStatus(const Member& member) const {
  return std::string(member.is_primary ? "primary " : "replica ") +
         std::to_string(member.term.value) + " " +
         FormatPoint(GetLastPoint(member, false)) + " " +
         std::to_string(member.paused_at_term.value) + " 0 " +
         std::to_string(member.active_count) + " 1";
}

std::optional<std::string> GroupModel::FindValue(
    const Member& member,
    const std::string& item) const {
  for (size_t n = member.applied_count; n > 0; --n) {
    for (const auto& [key, data] : commits_[member.log[n - 1]].writes) {
      if (key == item) {
        return data;
      }
    }
  }
  return std::nullopt;
}

void GroupModel::Answer(uint64_t id, std::string body) {
  Connection& connection = connections_[id];
  connection.is_busy = false;
  body += FormatReady(connection);
  const bool lost = std::uniform_real_distribution<>(0, 1)(random_) <
                    options_.answer_loss_rate;
  if (!lost) {
    output_(id, std::move(body));
  }
  ProcessPendingLines(id);
}

void GroupModel::Fail(uint64_t id, std::string_view code) {
  Connection& connection = connections_[id];
  if (connection.status == 'T' && !MeansNoRun(code)) {
    connection.status = 'E';
    connection.writes.clear();
    connection.requests.clear();
  }
  Answer(id, "ERROR " + std::string(code) + " " +
                 members_[connection.member].id + "\r\n");
}

void GroupModel::Complete(uint64_t id, std::string rows, std::string proof) {
  Answer(id, std::move(rows) + "COMPLETE " + proof + "\r\n");
}

}  // namespace magnoliareel
