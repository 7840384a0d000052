// A small site for the scripts of the review: the platform's store, its
// promotion call and services of three databases, on consecutive ports of a
// loopback address.
//
// Usage: site HOST PORT [--work-ms N] [--slots N] [--max-conns N] [--rows N]
//             [--row-bytes N] [--row-gap-ms N] [--services N]
//
// HTTP is served at PORT, the databases at the ports behind it, three for each
// service groyne-logs-1, groyne-logs-2 and so on. The first one of a service is
// its primary. Service N has the routes entries-N (primary), lookups-N
// (bounded) and timesheets-N (read_your_writes). A read, a write or a commit
// takes a slot for N ms (--work-ms). A read of an item whose name begins with
// "long" is answered with --rows rows of --row-bytes bytes, one each
// --row-gap-ms ms. Replicas receive and apply commits at once.
//
// What reaches a database is written to standard output, one line each:
// milliseconds since the Unix epoch, "arrived", "ran" or "closed", database,
// connection, id, text.

#include <arpa/inet.h>
#include <fcntl.h>
#include <json/json.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

struct Options {
  std::string host;
  int port = 0;
  int64_t work_ms = 28;
  int64_t slots = 5;
  int64_t max_conns = 32;
  int64_t rows = 1;
  int64_t row_bytes = 100;
  int64_t row_gap_ms = 0;
  int64_t services = 1;
} options;

std::multimap<int64_t, std::function<void()>> timers;
void After(int64_t ms, std::function<void()> task) {
  timers.emplace(NowMs() + ms, std::move(task));
}

struct Peer {
  int fd = -1;
  int database = -1;  // -1: HTTP
  uint64_t id = 0;
  std::string in;
  std::string out;
  bool closing = false;
  // Session of a database.
  bool open = false;
  char state = 'I';
  bool busy = false;
  std::map<std::string, std::string> values;
  std::map<std::string, std::pair<bool, std::string>> prepared;
  std::vector<std::pair<std::string, std::string>> writes;
};
std::map<uint64_t, std::unique_ptr<Peer>> peers;
uint64_t next_peer = 1;

Peer* Find(uint64_t id) {
  const auto it = peers.find(id);
  return it == peers.end() ? nullptr : it->second.get();
}

// ---- The store ----

struct Row {
  std::string value;  // base64
  uint64_t ver = 0;
};
struct Change {
  uint64_t ver;
  std::string table;
  std::string key;
};
std::map<std::string, std::map<std::string, Row>> tables;
std::vector<Change> changes;
uint64_t version = 0;
struct Waiter {
  uint64_t peer;
  std::string table;
  uint64_t after;
  int64_t until;
};
std::vector<Waiter> waiters;

std::string Encode(const std::string& text) {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t it = 0; it < text.size(); it += 3) {
    uint32_t n = 0;
    for (size_t k = 0; k < 3; ++k) {
      n = n << 8 |
          (it + k < text.size() ? static_cast<uint8_t>(text[it + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      out += it + k <= text.size() ? kDigits[n >> (18 - 6 * k) & 63] : '=';
    }
  }
  return out;
}

std::string Format(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

void Answer(Peer& peer, int status, const Json::Value& body) {
  const std::string text = body.isNull() ? "" : Format(body);
  peer.out += "HTTP/1.1 " + std::to_string(status) +
              " -\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(text.size()) + "\r\n\r\n" + text;
}

Json::Value MakeRow(const std::string& table, const std::string& key) {
  Json::Value row;
  row["table"] = table;
  row["part"] = "";
  row["key"] = key;
  const auto& rows = tables[table];
  if (const auto it = rows.find(key); it != rows.end()) {
    row["value"] = it->second.value;
    row["ver"] = Json::UInt64{it->second.ver};
  }
  return row;
}

Json::Value MakeFeed(const std::string& table, uint64_t after) {
  Json::Value body;
  body["rows"] = Json::Value(Json::arrayValue);
  body["ver"] = Json::UInt64{version};
  body["now-ms"] = Json::Int64{NowMs()};
  std::map<std::string, uint64_t> latest;
  for (const Change& it : changes) {
    if (it.table == table && it.ver > after) {
      latest[it.key] = it.ver;
    }
  }
  std::vector<std::pair<uint64_t, std::string>> ordered;
  ordered.reserve(latest.size());
  for (const auto& [key, ver] : latest) {
    ordered.emplace_back(ver, key);
  }
  std::sort(ordered.begin(), ordered.end());
  for (const auto& [ver, key] : ordered) {
    Json::Value row = MakeRow(table, key);
    if (!row.isMember("ver")) {
      row["tombstone"] = true;
      row["ver"] = Json::UInt64{ver};
    }
    body["rows"].append(row);
  }
  return body;
}

void WakeWaiters() {
  std::vector<Waiter> left;
  for (const Waiter& it : waiters) {
    Peer* peer = Find(it.peer);
    if (peer == nullptr) {
      continue;
    }
    const Json::Value body = MakeFeed(it.table, it.after);
    if (body["rows"].empty() && NowMs() < it.until) {
      left.push_back(it);
    } else {
      Answer(*peer, 200, body);
    }
  }
  waiters = left;
}

void Put(const std::string& table,
         const std::string& key,
         const std::string& value) {
  tables[table][key] = {value, version};
  changes.push_back({version, table, key});
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> fields;
  const size_t begin = target.find('?');
  std::string rest = begin == std::string::npos ? "" : target.substr(begin + 1);
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const std::string field = rest.substr(0, end);
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
    const size_t eq = field.find('=');
    std::string value;
    for (size_t it = eq + 1; eq != std::string::npos && it < field.size();
         ++it) {
      if (field[it] == '%') {
        value +=
            static_cast<char>(std::stoi(field.substr(it + 1, 2), nullptr, 16));
        it += 2;
      } else {
        value += field[it];
      }
    }
    fields[field.substr(0, eq)] = value;
  }
  return fields;
}

int Promote(const std::string& id, uint64_t token);

void HandleHttp(Peer& peer,
                const std::string& method,
                const std::string& target,
                const std::map<std::string, std::string>& headers,
                const std::string& text) {
  const std::string path = target.substr(0, target.find('?'));
  const auto query = ParseQuery(target);
  const auto get = [&query](const char* name) {
    const auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
  };
  Json::Value body;
  if (method == "POST") {
    Json::CharReaderBuilder builder;
    std::string error;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    reader->parse(text.data(), text.data() + text.size(), &body, &error);
  }
  if (path == "/v1/rows-get") {
    Json::Value reply;
    reply["rows"] = Json::Value(Json::arrayValue);
    reply["ver"] = Json::UInt64{version};
    reply["now-ms"] = Json::Int64{NowMs()};
    reply["has-more"] = false;
    for (const auto& [key, row] : tables[get("table")]) {
      if (key >= get("from") && (get("to").empty() || key < get("to"))) {
        reply["rows"].append(MakeRow(get("table"), key));
      }
    }
    Answer(peer, 200, reply);
  } else if (path == "/v1/rows-feed") {
    const int64_t wait = std::atoll(get("wait-ms").c_str());
    waiters.push_back({peer.id, get("table"),
                       std::strtoull(get("after").c_str(), nullptr, 10),
                       NowMs() + wait});
    After(wait, WakeWaiters);
    WakeWaiters();
  } else if (path == "/v1/rows-tx") {
    Json::Value reply;
    reply["rows"] = Json::Value(Json::arrayValue);
    bool holds = true;
    for (const Json::Value& it : body["precondition"]) {
      const Json::Value row =
          MakeRow(it["table"].asString(), it["key"].asString());
      holds = holds && (row.isMember("ver") ? row["ver"].asUInt64() : 0) ==
                           it["ver"].asUInt64();
      reply["rows"].append(row);
    }
    if (holds) {
      ++version;
      for (const Json::Value& it : body["puts"]) {
        Put(it["table"].asString(), it["key"].asString(),
            it["value"].asString());
      }
      for (const Json::Value& it : body["deletes"]) {
        tables[it["table"].asString()].erase(it["key"].asString());
        changes.push_back(
            {version, it["table"].asString(), it["key"].asString()});
      }
      reply["rows"] = Json::Value(Json::arrayValue);
    }
    reply["ver"] = Json::UInt64{version};
    reply["now-ms"] = Json::Int64{NowMs()};
    After(4, [id = peer.id, holds, reply] {
      if (Peer* it = Find(id)) {
        Answer(*it, holds ? 200 : 412, reply);
      }
    });
    WakeWaiters();
  } else if (path == "/promote") {
    const auto token = headers.find("fencing-token");
    Answer(peer,
           Promote(body["id"].asString(),
                   token == headers.end()
                       ? 0
                       : std::strtoull(token->second.c_str(), nullptr, 10)),
           Json::Value(Json::objectValue));
  } else {
    Answer(peer, 404, {});
  }
}

// Takes whole requests from the buffer.
void ReadHttp(Peer& peer) {
  for (;;) {
    const size_t end = peer.in.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    std::map<std::string, std::string> headers;
    size_t at = peer.in.find("\r\n") + 2;
    while (at < end) {
      const size_t line_end = peer.in.find("\r\n", at);
      const std::string line = peer.in.substr(at, line_end - at);
      const size_t colon = line.find(':');
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      const size_t value = line.find_first_not_of(' ', colon + 1);
      headers[name] = value == std::string::npos ? "" : line.substr(value);
      at = line_end + 2;
    }
    const size_t length =
        headers.contains("content-length")
            ? std::strtoull(headers["content-length"].c_str(), nullptr, 10)
            : 0;
    if (peer.in.size() < end + 4 + length) {
      return;
    }
    const std::string first = peer.in.substr(0, peer.in.find("\r\n"));
    const size_t blank = first.find(' ');
    const std::string method = first.substr(0, blank);
    const std::string target =
        first.substr(blank + 1, first.rfind(' ') - blank - 1);
    const std::string body = peer.in.substr(end + 4, length);
    peer.in.erase(0, end + 4 + length);
    HandleHttp(peer, method, target, headers, body);
  }
}

// ---- The databases ----

struct Database {
  std::string id;
  bool is_primary = false;
  uint64_t paused_at = 0;
  int64_t running = 0;
  std::deque<std::function<void()>> queue;
  int64_t born = 0;
};
struct Service {
  std::string name;
  uint64_t term = 1;
  uint64_t position = 1;
  uint64_t newest_token = 0;
  std::map<std::string, std::string> data;
};
std::vector<Database> databases;
std::vector<Service> services;
Service& ServiceOf(int database) {
  return services[static_cast<size_t>(database) / 3];
}

void Record(const char* what,
            const Peer& peer,
            const std::string& id,
            const std::string& text) {
  std::printf("%lld %s %s %llu %s %.80s\n", static_cast<long long>(UnixMs()),
              what, databases[peer.database].id.c_str(),
              static_cast<unsigned long long>(peer.id), id.c_str(),
              text.c_str());
}

void PublishDatabase(int index) {
  Json::Value entry;
  entry["service"] = ServiceOf(index).name;
  entry["address"] =
      options.host + ":" + std::to_string(options.port + 1 + index);
  entry["zone"] = "site-" + std::to_string(index % 3 + 1);
  entry["version"] = "v1";
  entry["capacity"] = Json::Int64{options.slots};
  entry["state"] = "ready";
  entry["warmup-left-ms"] = 0;
  entry["sequence"] = Json::UInt64{version + 1};
  entry["db-role"] = databases[index].is_primary ? "primary" : "replica";
  entry["born"] = Json::Int64{databases[index].born};
  ++version;
  Put("servers", databases[index].id, Encode(Format(entry)));
  WakeWaiters();
}

int Promote(const std::string& id, uint64_t token) {
  for (int it = 0; it < static_cast<int>(databases.size()); ++it) {
    if (databases[it].id != id) {
      continue;
    }
    Service& service = ServiceOf(it);
    if (token < service.newest_token) {
      return 409;
    }
    service.newest_token = token;
    if (!databases[it].is_primary) {
      After(300, [it] {
        ++ServiceOf(it).term;
        const int first = it / 3 * 3;
        for (int n = first; n < first + 3; ++n) {
          databases[n].is_primary = n == it;
          databases[n].paused_at = 0;
          PublishDatabase(n);
        }
      });
    }
    return 200;
  }
  return 409;
}

std::string Position(const Peer& peer) {
  const Service& service = ServiceOf(peer.database);
  return std::to_string(service.term) + "." + std::to_string(service.position);
}

void Ready(Peer& peer) {
  peer.out +=
      std::string("READY ") + peer.state + " " + Position(peer) + "\r\n";
}
void Fail(Peer& peer, const std::string& code) {
  peer.out += "ERROR " + code + " -\r\n";
  Ready(peer);
}
void Complete(Peer& peer, const std::string& proof) {
  peer.out += "COMPLETE " + proof + "\r\n";
  Ready(peer);
}

void ReadDatabase(Peer& peer);

// Runs a task once a slot is free and its time is over.
void Occupy(int index, int64_t ms, std::function<void()> task) {
  Database& it = databases[index];
  auto run = [index, ms, task = std::move(task)] {
    ++databases[index].running;
    After(ms, [index, task] {
      --databases[index].running;
      task();
      Database& database = databases[index];
      if (database.running < options.slots && !database.queue.empty()) {
        const auto next = database.queue.front();
        database.queue.pop_front();
        next();
      }
    });
  };
  if (it.running < options.slots) {
    run();
  } else {
    it.queue.push_back(run);
  }
}

void SendRows(uint64_t id, const std::string& request, int64_t left) {
  Peer* peer = Find(id);
  if (peer == nullptr) {
    return;
  }
  if (left == 0) {
    Record("ran", *peer, request, "");
    peer->busy = false;
    Complete(*peer, "proof-" + request);
    ReadDatabase(*peer);
    return;
  }
  peer->out += "ROW " +
               std::string(static_cast<size_t>(options.row_bytes), 'r') +
               "\r\n";
  After(options.row_gap_ms,
        [id, request, left] { SendRows(id, request, left - 1); });
}

void Run(Peer& peer, const std::string& request, const std::string& text) {
  Database& database = databases[peer.database];
  const uint64_t term = ServiceOf(peer.database).term;
  const size_t blank = text.find(' ');
  const std::string verb = text.substr(0, blank);
  const std::string rest =
      blank == std::string::npos ? "" : text.substr(blank + 1);
  if (verb == "BEGIN") {
    if (rest.empty() && !database.is_primary) {
      Fail(peer, "READONLY");
      return;
    }
    peer.state = 'T';
    Complete(peer, "-");
  } else if (verb == "ROLLBACK") {
    peer.state = 'I';
    peer.writes.clear();
    Complete(peer, "-");
  } else if (verb == "SET") {
    const size_t end = rest.find(' ');
    peer.values[rest.substr(0, end)] = rest.substr(end + 1);
    Complete(peer, "-");
  } else if (verb == "RESET") {
    peer.values.clear();
    peer.prepared.clear();
    Complete(peer, "-");
  } else if (verb == "PREPARE") {
    const size_t name_end = rest.find(' ');
    const size_t kind_end = rest.find(' ', name_end + 1);
    peer.prepared[rest.substr(0, name_end)] = {
        rest.substr(name_end + 1, kind_end - name_end - 1) == "WRITE",
        rest.substr(kind_end + 1)};
    Complete(peer, "-");
  } else if (verb == "DEALLOC") {
    peer.prepared.erase(rest);
    Complete(peer, "-");
  } else if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" ||
             verb == "DEMOTE") {
    const uint64_t given = std::strtoull(rest.c_str(), nullptr, 10);
    if (verb == "PAUSE" && given > term && !database.is_primary) {
      database.paused_at = given;
    } else if (verb == "RESUME") {
      database.paused_at = 0;
    } else if (verb == "DEMOTE" && given > term) {
      database.is_primary = false;
    }
    peer.out += std::string("ROW ") +
                (database.is_primary ? "primary " : "replica ") +
                std::to_string(term) + " " + Position(peer) + " " +
                std::to_string(database.paused_at) + " 0 " +
                std::to_string(database.running) + " 1\r\n";
    Complete(peer, "-");
  } else {
    std::string kind = verb;
    std::string item = rest.substr(0, rest.find(' '));
    std::string value = rest.find(' ') == std::string::npos
                            ? ""
                            : rest.substr(rest.find(' ') + 1);
    if (verb == "EXECUTE") {
      const auto it = peer.prepared.find(item);
      if (it == peer.prepared.end()) {
        Fail(peer, "NOSTMT");
        return;
      }
      kind = it->second.first ? "WRITE" : "READ";
      item = value.substr(0, value.find(' '));
      value = value.find(' ') == std::string::npos
                  ? ""
                  : value.substr(value.find(' ') + 1);
    }
    Record("arrived", peer, request, text);
    const bool needs_lead =
        kind == "WRITE" || (kind == "COMMIT" && !peer.writes.empty());
    if (needs_lead && !database.is_primary) {
      Fail(peer, "READONLY");
      return;
    }
    peer.busy = true;
    Occupy(peer.database, options.work_ms,
           [id = peer.id, request, text, kind, item, value] {
             Peer* it = Find(id);
             if (it == nullptr) {
               return;
             }
             if (kind == "READ" && item.starts_with("long")) {
               SendRows(id, request, options.rows);
               return;
             }
             Record("ran", *it, request, text);
             it->busy = false;
             Service& service = ServiceOf(it->database);
             if (kind == "READ") {
               if (const auto found = service.data.find(item);
                   found != service.data.end()) {
                 it->out += "ROW " + found->second + "\r\n";
               }
             } else if (kind == "WRITE") {
               it->writes.emplace_back(item, value);
             }
             if (kind == "COMMIT" || (kind == "WRITE" && it->state == 'I')) {
               it->state = 'I';
               service.position += it->writes.empty() ? 0 : 1;
               for (const auto& [key, text_value] : it->writes) {
                 service.data[key] = text_value;
               }
               it->writes.clear();
             }
             Complete(*it, "proof-" + request);
             ReadDatabase(*it);
           });
  }
}

void ReadDatabase(Peer& peer) {
  while (!peer.busy && !peer.closing) {
    const size_t end = peer.in.find("\r\n");
    if (end == std::string::npos) {
      return;
    }
    const std::string line = peer.in.substr(0, end);
    peer.in.erase(0, end + 2);
    if (line.starts_with("STARTUP ")) {
      std::vector<std::string> fields;
      std::string rest = line.substr(8);
      while (!rest.empty()) {
        const size_t blank = rest.find(' ');
        fields.push_back(rest.substr(0, blank));
        rest = blank == std::string::npos ? "" : rest.substr(blank + 1);
      }
      const int64_t connections =
          std::count_if(peers.begin(), peers.end(), [&](const auto& row) {
            return row.second->database == peer.database && row.second->open;
          });
      if (fields.empty() || fields[0] != ServiceOf(peer.database).name ||
          (fields.size() > 2 && fields[2] != databases[peer.database].id)) {
        peer.out += "ERROR MISROUTED -\r\n";
        peer.closing = true;
      } else if (connections >= options.max_conns) {
        peer.out += "ERROR TOOMANY -\r\n";
        peer.closing = true;
      } else {
        peer.open = true;
        peer.busy = true;
        Occupy(peer.database, 12, [id = peer.id] {
          if (Peer* it = Find(id)) {
            it->busy = false;
            Ready(*it);
            ReadDatabase(*it);
          }
        });
      }
    } else if (line.starts_with("QUERY ")) {
      const size_t id_end = line.find(' ', 6);
      std::string text = line.substr(id_end + 1);
      if (text.starts_with("AFTER ")) {
        text = text.substr(text.find(' ', 6) + 1);
      }
      Run(peer, line.substr(6, id_end - 6), text);
    } else {
      peer.closing = true;
    }
  }
}

// ---- Sockets ----

int Listen(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, options.host.c_str(), &address.sin_addr);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 256) != 0) {
    std::perror("listen");
    std::exit(3);
  }
  return fd;
}

void ClosePeer(uint64_t id) {
  const auto it = peers.find(id);
  if (it->second->database >= 0) {
    Record("closed", *it->second, "-", "");
  }
  close(it->second->fd);
  peers.erase(it);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "usage: site HOST PORT [OPTION VALUE]...\n");
    return 2;
  }
  options.host = argv[1];
  options.port = std::atoi(argv[2]);
  for (int it = 3; it + 1 < argc; it += 2) {
    const std::string name = argv[it];
    int64_t* const number = name == "--work-ms"      ? &options.work_ms
                            : name == "--slots"      ? &options.slots
                            : name == "--max-conns"  ? &options.max_conns
                            : name == "--rows"       ? &options.rows
                            : name == "--row-bytes"  ? &options.row_bytes
                            : name == "--row-gap-ms" ? &options.row_gap_ms
                            : name == "--services"   ? &options.services
                                                     : nullptr;
    if (number == nullptr) {
      std::fprintf(stderr, "unknown option %s\n", name.c_str());
      return 2;
    }
    *number = std::atoll(argv[it + 1]);
  }
  signal(SIGPIPE, SIG_IGN);
  setvbuf(stdout, nullptr, _IOLBF, 0);
  Json::Value config;
  config["version"] = 3;
  for (int64_t it = 1; it <= options.services; ++it) {
    const std::string number = "-" + std::to_string(it);
    services.emplace_back().name = "groyne-logs" + number;
    for (const auto& [name, kind] : std::map<std::string, std::string>{
             {"entries", "primary"},
             {"lookups", "bounded"},
             {"timesheets", "read_your_writes"}}) {
      Json::Value route;
      route["name"] = name + number;
      route["host"] = name + number;
      route["kind"] = kind;
      route["service"] = services.back().name;
      route["timeout-ms"] = name == "lookups" ? 3000 : 1000;
      route["target-latency-ms"] = 1200;
      route["priority"] = 1;
      route["max-staleness-ms"] = 1500;
      config["routes"].append(route);
    }
    Json::Value service;
    service["name"] = services.back().name;
    service["max-conns"] = Json::Int64{options.max_conns};
    service["sync-replicas"] = 1;
    config["services"].append(service);
  }
  config["limits"]["tx-idle-ms"] = 3000;
  ++version;
  Put("op", "config", Encode(Format(config)));
  std::vector<int> listeners = {Listen(options.port)};
  databases.resize(3 * services.size());
  for (int it = 0; it < static_cast<int>(databases.size()); ++it) {
    databases[it].id = "i-" + std::to_string(it + 1) + "a7f";
    databases[it].born = UnixMs();
    databases[it].is_primary = it % 3 == 0;
    listeners.push_back(Listen(options.port + 1 + it));
    PublishDatabase(it);
  }
  for (;;) {
    std::vector<pollfd> fds;
    fds.reserve(listeners.size() + peers.size());
    for (const int it : listeners) {
      fds.push_back({it, POLLIN, 0});
    }
    std::vector<uint64_t> ids;
    for (const auto& [id, it] : peers) {
      ids.push_back(id);
      fds.push_back(
          {it->fd, static_cast<short>(POLLIN | (it->out.empty() ? 0 : POLLOUT)),
           0});
    }
    const int64_t wait =
        timers.empty()
            ? 1000
            : std::clamp<int64_t>(timers.begin()->first - NowMs(), 0, 1000);
    poll(fds.data(), fds.size(), static_cast<int>(wait));
    for (size_t it = 0; it < listeners.size(); ++it) {
      while ((fds[it].revents & POLLIN) != 0) {
        const int fd = accept4(listeners[it], nullptr, nullptr,
                               SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
          break;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto peer = std::make_unique<Peer>();
        peer->fd = fd;
        peer->id = next_peer++;
        peer->database = static_cast<int>(it) - 1;
        peers.emplace(peer->id, std::move(peer));
      }
    }
    for (size_t it = 0; it < ids.size(); ++it) {
      const short events = fds[listeners.size() + it].revents;
      if ((events & (POLLIN | POLLHUP | POLLERR)) == 0) {
        continue;
      }
      Peer& peer = *Find(ids[it]);
      char buffer[65536];
      ssize_t n = 0;
      while ((n = read(peer.fd, buffer, sizeof buffer)) > 0) {
        peer.in.append(buffer, static_cast<size_t>(n));
      }
      if (n == 0 || (errno != EAGAIN && errno != EINTR)) {
        ClosePeer(ids[it]);
        continue;
      }
      if (peer.database < 0) {
        ReadHttp(peer);
      } else {
        ReadDatabase(peer);
      }
    }
    while (!timers.empty() && timers.begin()->first <= NowMs()) {
      const auto task = std::move(timers.begin()->second);
      timers.erase(timers.begin());
      task();
    }
    std::vector<uint64_t> ended;
    for (const auto& [id, it] : peers) {
      if (!it->out.empty()) {
        const ssize_t n = write(it->fd, it->out.data(), it->out.size());
        if (n > 0) {
          it->out.erase(0, static_cast<size_t>(n));
        }
      }
      if (it->closing && it->out.empty()) {
        ended.push_back(id);
      }
    }
    for (const uint64_t id : ended) {
      ClosePeer(id);
    }
  }
}
