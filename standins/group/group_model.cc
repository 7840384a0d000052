#include "standins/group/group_model.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

namespace magnoliareel {
namespace {

std::string TakeNextField(std::string_view& rest) {
  const size_t blank = rest.find(' ');
  std::string field(rest.substr(0, blank));
  rest.remove_prefix(blank == std::string_view::npos ? rest.size() : blank + 1);
  return field;
}

uint64_t ParseNumberOrZero(std::string_view text) {
  uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

LogPoint ParsePoint(const std::string& text) {
  const size_t dot = text.find('.');
  return {Term{ParseNumberOrZero(text.substr(0, dot))},
          LogPosition{dot == std::string::npos
                          ? 0
                          : ParseNumberOrZero(text.substr(dot + 1))}};
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
  if (it == nullptr) {
    return;
  }
  it->input.append(bytes);
  for (size_t end = it->input.find("\r\n"); end != std::string::npos;
       end = it->input.find("\r\n")) {
    it->pending_lines.push_back(it->input.substr(0, end));
    it->input.erase(0, end + 2);
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
  Connection& connection = connections_[id];
  Member& member = members_[connection.member];
  std::string_view rest = line;
  const std::string word = TakeNextField(rest);
  if (word == "TERMINATE") {
    connections_.erase(id);
    output_(id, "");
    return;
  }
  if (word == "QUERY" && connection.is_open) {
    HandleQuery(id, rest);
    return;
  }
  if (word != "STARTUP") {
    output_(id, "ERROR MALFORMED unexpected\r\n" + FormatReady(connection));
    return;
  }
  const std::string service = TakeNextField(rest);
  TakeNextField(rest);
  const std::string expected(rest);
  const bool is_misrouted = service != options_.service ||
                            (!expected.empty() && expected != member.id);
  if (is_misrouted) {
    Refuse(id, "MISROUTED");
    return;
  }
  if (!options_.handshakes_wait && IsFull(connection.member)) {
    Refuse(id, "TOOMANY");
    return;
  }
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
           Connection* it = FindConnection(id);
           if (it == nullptr) {
             return;
           }
           if (options_.handshakes_wait && IsFull(index)) {
             Refuse(id, "TOOMANY");
             return;
           }
           it->is_busy = false;
           it->is_open = true;
           output_(id, FormatReady(*it));
           ProcessPendingLines(id);
         });
}

bool GroupModel::IsFull(size_t member) const {
  const auto open = std::count_if(
      connections_.begin(), connections_.end(), [member](const auto& row) {
        return row.second.member == member && row.second.is_open;
      });
  return open >= static_cast<int64_t>(options_.max_connections);
}

void GroupModel::Refuse(uint64_t id, std::string_view code) {
  const std::string member = members_[connections_[id].member].id;
  connections_.erase(id);
  output_(id, "ERROR " + std::string(code) + " " + member + "\r\n");
  output_(id, "");
}

void GroupModel::HandleQuery(uint64_t id, std::string_view rest) {
  Connection& connection = connections_[id];
  Member& member = members_[connection.member];
  const std::string request = TakeNextField(rest);
  std::string text(rest);
  std::string_view body = text;
  std::string verb = TakeNextField(body);
  const bool ends_transaction = verb == "ROLLBACK" || verb == "COMMIT";
  if (connection.status == 'E' && !ends_transaction) {
    Fail(id, "MALFORMED");
    return;
  }
  if (verb == "AFTER") {
    const LogPoint point = ParsePoint(TakeNextField(body));
    if (GetLastPoint(member, true) < point) {
      Fail(id, "LAGGING");
      return;
    }
    text = std::string(body);
    body = text;
    verb = TakeNextField(body);
  }
  if (verb == "BEGIN") {
    const bool is_read_write = body.empty();
    if (connection.status != 'I') {
      Fail(id, "MALFORMED");
    } else if (is_read_write && !member.is_primary) {
      Fail(id, "READONLY");
    } else {
      connection.status = 'T';
      connection.is_read_write = is_read_write;
      connection.transaction = ++transaction_count_;
      Complete(id, "", "-");
    }
    return;
  }
  if (verb == "ROLLBACK" || (verb == "COMMIT" && connection.status == 'E')) {
    connection.status = 'I';
    connection.writes.clear();
    connection.requests.clear();
    if (verb == "COMMIT") {
      Fail(id, "ABORTED");
    } else {
      Complete(id, "", "-");
    }
    return;
  }
  if (verb == "RESET") {
    connection.values.clear();
    connection.prepared_statements.clear();
    Complete(id, "", "-");
    return;
  }
  if (verb == "SET") {
    const std::string name = TakeNextField(body);
    connection.values[name] = std::string(body);
    Complete(id, "", "-");
    return;
  }
  if (verb == "PREPARE") {
    const std::string name = TakeNextField(body);
    const bool writes = TakeNextField(body) == "WRITE";
    connection.prepared_statements[name] = {writes, std::string(body)};
    Complete(id, "", "-");
    return;
  }
  RunInSlot(id, request, text);
}

void GroupModel::RunInSlot(uint64_t id, std::string request, std::string text) {
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
          incarnation = connection.incarnation, request = std::move(request),
          text = std::move(text)] {
           ReleaseSlot(members_[index], incarnation);
           if (FindConnection(id) != nullptr) {
             Run(id, request, text);
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

void GroupModel::Run(uint64_t id,
                     const std::string& request,
                     const std::string& text) {
  Connection& connection = connections_[id];
  Member& member = members_[connection.member];
  std::string_view body = text;
  std::string verb = TakeNextField(body);
  if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" ||
      verb == "DEMOTE") {
    if (verb == "PAUSE" && Term{ParseNumberOrZero(body)} > member.term) {
      member.paused_at_term = Term{ParseNumberOrZero(body)};
    } else if (verb == "DEMOTE" &&
               Term{ParseNumberOrZero(body)} > member.term) {
      Demote(connection.member);
    } else if (verb == "RESUME") {
      member.paused_at_term = {};
      SynchronizeLog(connection.member);
    }
    Complete(id, "ROW " + FormatStatus(member) + "\r\n", "-");
    return;
  }
  ExecutedStatement statement;
  statement.request = request;
  statement.text = text;
  if (verb == "EXECUTE") {
    statement.prepared_name = TakeNextField(body);
    const auto it =
        connection.prepared_statements.find(statement.prepared_name);
    if (it == connection.prepared_statements.end()) {
      Fail(id, "NOSTMT");
      return;
    }
    verb = it->second.first ? "WRITE" : "READ";
    statement.shape = verb + " " + it->second.second;
  }
  const bool is_read_only_commit =
      verb == "COMMIT" && connection.writes.empty();
  if (connection.status == 'T' && connection.is_read_write &&
      !member.is_primary && !is_read_only_commit) {
    connection.status = 'E';
    connection.writes.clear();
    Fail(id, "READONLY");
    return;
  }
  if (verb == "COMMIT") {
    Commit(id, request);
    return;
  }
  const std::string item = TakeNextField(body);
  if (verb == "READ") {
    RunRead(id, std::move(statement), item);
  } else if (verb == "WRITE") {
    RunWrite(id, std::move(statement), item, std::string(body));
  } else {
    Fail(id, "MALFORMED");
  }
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
  Answer(id, "ERROR " + std::string(code) + " " +
                 members_[connections_[id].member].id + "\r\n");
}

void GroupModel::Complete(uint64_t id, std::string rows, std::string proof) {
  Answer(id, std::move(rows) + "COMPLETE " + proof + "\r\n");
}

}  // namespace magnoliareel
