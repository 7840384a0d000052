#include "standins/group/group_model.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

namespace magnoliareel {
namespace {

std::string Take(std::string_view& rest) {
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
    member.id = options_.service + "-" + std::to_string(it + 1);
    member.leads = it == 0;
    member.term = Term{1};
    members_.push_back(std::move(member));
  }
}

GroupModel::Connection* GroupModel::Find(uint64_t id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    return nullptr;
  }
  const Member& member = members_[it->second.member];
  return member.up && member.lifetime == it->second.lifetime ? &it->second
                                                             : nullptr;
}

Duration GroupModel::AddJitter(Duration mean) {
  const double part = std::uniform_real_distribution<>(0.4, 1.6)(random_);
  return Duration(
      static_cast<int64_t>(static_cast<double>(mean.count()) * part));
}

void GroupModel::Open(size_t member, uint64_t connection) {
  if (members_[member].dark) {
    return;
  }
  if (!members_[member].up) {
    output_(connection, "");
    return;
  }
  Connection fresh;
  fresh.member = member;
  fresh.lifetime = members_[member].lifetime;
  connections_[connection] = std::move(fresh);
}

void GroupModel::Close(uint64_t connection) {
  connections_.erase(connection);
}

void GroupModel::Receive(uint64_t connection, std::string_view bytes) {
  Connection* it = Find(connection);
  if (it == nullptr) {
    return;
  }
  it->input.append(bytes);
  for (size_t end = it->input.find("\r\n"); end != std::string::npos;
       end = it->input.find("\r\n")) {
    it->backlog.push_back(it->input.substr(0, end));
    it->input.erase(0, end + 2);
  }
  Next(connection);
}

void GroupModel::Next(uint64_t id) {
  for (Connection* it = Find(id);
       it != nullptr && !it->busy && !it->backlog.empty(); it = Find(id)) {
    const std::string line = it->backlog.front();
    it->backlog.erase(it->backlog.begin());
    Handle(id, line);
  }
}

void GroupModel::Handle(uint64_t id, const std::string& line) {
  Connection& connection = connections_[id];
  Member& member = members_[connection.member];
  std::string_view rest = line;
  const std::string word = Take(rest);
  if (word == "TERMINATE") {
    connections_.erase(id);
    output_(id, "");
    return;
  }
  if (word == "QUERY" && connection.open) {
    HandleQuery(id, rest);
    return;
  }
  if (word != "STARTUP") {
    output_(id, "ERROR MALFORMED unexpected\r\n" + FormatReady(connection));
    return;
  }
  const std::string service = Take(rest);
  Take(rest);
  const std::string expected(rest);
  const auto open = std::count_if(
      connections_.begin(), connections_.end(), [&](const auto& row) {
        return row.second.member == connection.member && row.second.open;
      });
  std::string_view refusal;
  if (service != options_.service ||
      (!expected.empty() && expected != member.id)) {
    refusal = "MISROUTED";
  } else if (open >= static_cast<int64_t>(options_.max_connections)) {
    refusal = "TOOMANY";
  }
  if (!refusal.empty()) {
    connections_.erase(id);
    output_(id, "ERROR " + std::string(refusal) + " " + member.id + "\r\n");
    output_(id, "");
    return;
  }
  connection.busy = true;
  ++member.running;
  timer_(options_.handshake,
         [this, id, index = connection.member, lifetime = connection.lifetime] {
           ReleaseSlot(members_[index], lifetime);
           if (Connection* it = Find(id)) {
             it->busy = false;
             it->open = true;
             output_(id, FormatReady(*it));
             Next(id);
           }
         });
}

void GroupModel::HandleQuery(uint64_t id, std::string_view rest) {
  Connection& connection = connections_[id];
  Member& member = members_[connection.member];
  const std::string request = Take(rest);
  std::string text(rest);
  std::string_view body = text;
  std::string verb = Take(body);
  const bool ends = verb == "ROLLBACK" || verb == "COMMIT";
  if (connection.status == 'E' && !ends) {
    Fail(id, "MALFORMED");
    return;
  }
  if (verb == "AFTER") {
    const LogPoint point = ParsePoint(Take(body));
    if (GetEnd(member, true) < point) {
      Fail(id, "LAGGING");
      return;
    }
    text = std::string(body);
    body = text;
    verb = Take(body);
  }
  if (verb == "BEGIN") {
    const bool plain = body.empty();
    if (connection.status != 'I') {
      Fail(id, "MALFORMED");
    } else if (plain && !member.leads) {
      Fail(id, "READONLY");
    } else {
      connection.status = 'T';
      connection.plain = plain;
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
    connection.prepared.clear();
    Complete(id, "", "-");
    return;
  }
  if (verb == "SET") {
    const std::string name = Take(body);
    connection.values[name] = std::string(body);
    Complete(id, "", "-");
    return;
  }
  if (verb == "PREPARE") {
    const std::string name = Take(body);
    const bool writes = Take(body) == "WRITE";
    connection.prepared[name] = {writes, std::string(body)};
    Complete(id, "", "-");
    return;
  }
  RunInSlot(id, request, text);
}

void GroupModel::RunInSlot(uint64_t id, std::string request, std::string text) {
  Connection& connection = connections_[id];
  Member& member = members_[connection.member];
  // Every slot has as many waiting places again.
  if (member.running >= options_.slots * 2) {
    Fail(id, "BUSY");
    return;
  }
  connection.busy = true;
  const Duration wait = options_.work * (member.running / options_.slots);
  ++member.running;
  timer_(AddJitter(options_.work) + wait,
         [this, id, index = connection.member, lifetime = connection.lifetime,
          request = std::move(request), text = std::move(text)] {
           ReleaseSlot(members_[index], lifetime);
           if (Find(id) != nullptr) {
             Run(id, request, text);
           }
         });
}

void GroupModel::ReleaseSlot(Member& member, uint64_t lifetime) {
  // A crash has freed the slots of its lifetime.
  if (member.lifetime == lifetime) {
    --member.running;
  }
}

void GroupModel::Run(uint64_t id,
                     const std::string& request,
                     const std::string& text) {
  Connection& connection = connections_[id];
  Member& member = members_[connection.member];
  std::string_view body = text;
  std::string verb = Take(body);
  if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME") {
    if (verb == "PAUSE" && Term{ParseNumberOrZero(body)} > member.term) {
      member.paused_at = Term{ParseNumberOrZero(body)};
    } else if (verb == "RESUME") {
      member.paused_at = {};
      SynchronizeLog(connection.member);
    }
    Complete(id, "ROW " + FormatStatus(member) + "\r\n", "-");
    return;
  }
  if (verb == "EXECUTE") {
    const auto it = connection.prepared.find(Take(body));
    if (it == connection.prepared.end()) {
      Fail(id, "NOSTMT");
      return;
    }
    verb = it->second.first ? "WRITE" : "READ";
  }
  const bool reads_only_commit = verb == "COMMIT" && connection.writes.empty();
  if (connection.status == 'T' && connection.plain && !member.leads &&
      !reads_only_commit) {
    connection.status = 'E';
    connection.writes.clear();
    Fail(id, "READONLY");
    return;
  }
  if (verb == "COMMIT") {
    Commit(id, request);
    return;
  }
  const std::string item = Take(body);
  if (verb == "READ") {
    RunRead(id, request, text, item);
  } else if (verb == "WRITE") {
    RunWrite(id, request, text, item, std::string(body));
  } else {
    Fail(id, "MALFORMED");
  }
}

LogPoint GroupModel::GetEnd(const Member& member, bool applied) const {
  const size_t n = applied ? member.applied : member.log.size();
  return n == 0 ? LogPoint{Term{1}, {}} : commits_[member.log[n - 1]].point;
}

std::string GroupModel::FormatReady(const Connection& connection) const {
  return std::string("READY ") + connection.status + " " +
         FormatPoint(GetEnd(members_[connection.member], true)) + "\r\n";
}

std::string GroupModel::FormatStatus(const Member& member) const {
  return std::string(member.leads ? "primary " : "replica ") +
         std::to_string(member.term.value) + " " +
         FormatPoint(GetEnd(member, false)) + " " +
         std::to_string(member.paused_at.value) + " 0 " +
         std::to_string(member.running) + " 1";
}

std::optional<std::string> GroupModel::Look(const Member& member,
                                            const std::string& item) const {
  for (size_t n = member.applied; n > 0; --n) {
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
  connection.busy = false;
  body += FormatReady(connection);
  const bool lost = std::uniform_real_distribution<>(0, 1)(random_) <
                    options_.answer_loss_rate;
  if (!lost) {
    output_(id, std::move(body));
  }
  Next(id);
}

void GroupModel::Fail(uint64_t id, std::string_view code) {
  Answer(id, "ERROR " + std::string(code) + " " +
                 members_[connections_[id].member].id + "\r\n");
}

void GroupModel::Complete(uint64_t id, std::string rows, std::string proof) {
  Answer(id, std::move(rows) + "COMPLETE " + proof + "\r\n");
}

}  // namespace magnoliareel
