#include "standins/site/site_server.h"

#include <json/json.h>

#include <cstdlib>
#include <utility>

#include "codec/json/json_text.h"

namespace magnoliareel {
namespace {

constexpr std::string_view kService = "groyne-logs";
// Longest time until a change of a database's role appears in the directory.
constexpr Duration kEndpointPublishInterval = std::chrono::milliseconds(100);
// A database that has stopped is listed for three intervals of its reports.
constexpr Duration kEntryRetention = std::chrono::milliseconds(3600);

}  // namespace

struct SiteServer::Connection {
  SiteServer* owner = nullptr;
  uint64_t id = 0;
  Stream stream;

  void HandleOpened() {}
  void HandleBytes(std::string_view bytes) {
    SiteServer& site = *owner;
    site.group_.SetNow(site.loop_.Now());
    site.group_.Receive(id, bytes);
  }
  void HandleClosed(std::error_code) {
    SiteServer& site = *owner;
    site.group_.Close(id);
    site.connections_.erase(id);
  }
};

SiteServer::SiteServer(EventLoop& loop, SiteSettings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      group_(
          settings_.group,
          [this](uint64_t id, const std::string& bytes) {
            const auto it = connections_.find(id);
            if (it == connections_.end()) {
              return;
            }
            if (!bytes.empty()) {
              it->second->stream.Append(bytes);
              it->second->stream.Flush();
              return;
            }
            // Freed by a deferred task: this may be called by the connection.
            it->second->stream.Close();
            closing_connections_.push_back(std::move(it->second));
            connections_.erase(it);
            loop_.Defer([this] { closing_connections_.clear(); });
          },
          [this](Duration pause, std::function<void()> task) {
            RunAfter(pause, std::move(task));
          }),
      http_(loop,
            [this](const net::Request& request,
                   const net::HttpListener::Answer& answer) {
              HandleRequest(request, answer);
            }),
      publish_timer_(loop, [this] { PublishEndpoints(); }) {}

SiteServer::~SiteServer() = default;

std::error_code SiteServer::Start() {
  if (const std::error_code ec = http_.Listen({settings_.host, GetPort(0)})) {
    return ec;
  }
  for (size_t it = 0; it < group_.CountMembers(); ++it) {
    databases_.push_back(std::make_unique<StreamListener>(
        loop_, [this, it](Stream stream) { Accept(it, std::move(stream)); }));
    const SocketAddress address{settings_.host, GetPort(it + 1)};
    if (const std::error_code ec = databases_.back()->Listen(address)) {
      return ec;
    }
  }
  PublishConfig();
  PublishEndpoints();
  publish_timer_.StartRepeating(kEndpointPublishInterval);
  return {};
}

void SiteServer::RunAfter(Duration pause, std::function<void()> task) {
  RunLater(loop_, pause, [this, task = std::move(task)] {
    group_.SetNow(loop_.Now());
    task();
  });
}

void SiteServer::Accept(size_t member, Stream stream) {
  auto connection = std::make_unique<Connection>();
  Connection& it = *connection;
  it.owner = this;
  it.id = next_connection_++;
  it.stream = std::move(stream);
  connections_.emplace(it.id, std::move(connection));
  it.stream.Serve(it);
  group_.SetNow(loop_.Now());
  group_.Open(member, it.id);
}

void SiteServer::HandleRequest(const net::Request& request,
                               const net::HttpListener::Answer& answer) {
  constexpr std::string_view kFaultPath = "/fault/";
  if (request.target == "/promote") {
    HandlePromotion(request, answer);
    return;
  }
  if (request.target == "/executed") {
    answer({200, FormatExecuted()});
    return;
  }
  if (request.target.starts_with(kFaultPath)) {
    answer(
        {InjectFault(std::string_view(request.target).substr(kFaultPath.size()))
             ? 200
             : 404,
         {}});
    return;
  }
  const uint64_t poll =
      store_.Handle(request.method, request.target, request.body,
                    [this, answer](int status, const std::string& body) {
                      if (is_store_mute_) {
                        // The listener handles no further request of a
                        // connection before it has sent this answer.
                        return;
                      }
                      const std::string era = std::to_string(store_.GetEra());
                      answer({status, body, {{"Store-Era", era}}});
                    });
  if (poll != 0) {
    RunAfter(
        std::chrono::milliseconds(StoreModel::GetPollTimeoutMs(request.target)),
        [this, poll] { store_.AnswerPendingPoll(poll); });
  }
}

std::string SiteServer::FormatExecuted() const {
  Json::Value root(Json::objectValue);
  Json::Value& statements = root["statements"] = Json::arrayValue;
  for (const ExecutedStatement& it : group_.GetExecutedStatements()) {
    Json::Value statement(Json::objectValue);
    statement["id"] = it.request;
    statement["database"] = it.endpoint;
    statement["connection"] = Json::UInt64{it.connection};
    statement["transaction"] = Json::UInt64{it.transaction};
    statement["text"] = it.text;
    statement["name"] = it.prepared_name;
    statement["shape"] = it.shape;
    Json::Value& values = statement["values"] = Json::objectValue;
    for (const auto& [name, value] : it.values) {
      values[name] = value;
    }
    statements.append(std::move(statement));
  }
  const PreparedCounts& counts = group_.GetPreparedCounts();
  for (const auto& [name, count] :
       {std::pair<const char*, uint64_t>("max_names", counts.max_names),
        {"max_bytes", counts.max_bytes},
        {"prepares", counts.prepares},
        {"refused_prepares", counts.refused_prepares},
        {"deallocations", counts.deallocations},
        {"unknown_names", counts.unknown_names},
        {"sets", counts.sets},
        {"refused_sets", counts.refused_sets},
        {"forgotten", counts.forgotten},
        {"malformed", counts.malformed}}) {
    root["prepared"][name] = Json::UInt64{count};
  }
  return FormatJson(root);
}

void SiteServer::HandlePromotion(const net::Request& request,
                                 const net::HttpListener::Answer& answer) {
  Findings findings;
  const Json::Value body = ParseJsonObject(request.body, findings);
  PromotionCall call;
  for (const auto& [name, value] : request.headers) {
    if (name == "Fencing-Token") {
      call.fencing_token = std::strtoull(value.c_str(), nullptr, 10);
    } else if (name == "Holder") {
      call.holder = value;
    }
  }
  if (call.fencing_token == 0 || !findings.IsEmpty()) {
    answer({400, {}});
    return;
  }
  call.endpoint = body["id"].asString();
  group_.SetNow(loop_.Now());
  if (const Duration delay = promotion_observer_(call); delay > Duration{}) {
    RunAfter(delay, [this, call = std::move(call)] {
      group_.Promote(call.endpoint, call.fencing_token);
    });
    return;
  }
  answer({group_.Promote(call.endpoint, call.fencing_token), {}});
}

bool SiteServer::InjectFault(std::string_view fault) {
  const size_t dash = fault.find('-');
  const std::string_view name = fault.substr(0, dash);
  const size_t member =
      dash == std::string_view::npos
          ? 0
          : std::strtoull(std::string(fault.substr(dash + 1)).c_str(), nullptr,
                          10);
  if (member >= group_.CountMembers()) {
    return false;
  }
  group_.SetNow(loop_.Now());
  if (name == "down" || name == "up") {
    store_.SetDown(name == "down");
  } else if (name == "mute" || name == "speak") {
    is_store_mute_ = name == "mute";
  } else if (name == "crash" || name == "dark") {
    StopMember(member, name == "dark");
  } else if (name == "restart") {
    return RestartMember(member);
  } else if (name == "drain" || name == "stay") {
    draining_[member] = name == "drain";
  } else if (name == "config") {
    ++config_version_;
    PublishConfig();
  } else if (name == "copy") {
    store_.TakeCopy();
  } else if (name == "restore") {
    store_.RestoreCopy();
    // The operator changes the configuration at once, and the databases write
    // their entries again.
    ++config_version_;
    PublishConfig();
    published_endpoints_.clear();
    PublishEndpoints();
  } else if (name == "forget") {
    store_.DiscardHistory();
  } else {
    return InjectStatementFault(name) || InjectMembershipFault(name, member);
  }
  return true;
}

bool SiteServer::InjectStatementFault(std::string_view name) {
  if (name == "lose" || name == "keep") {
    group_.SetAnswerLossRate(name == "lose" ? 0.1 : 0);
  } else if (name == "slow" || name == "quick") {
    group_.SetApplyDelayFactor(name == "slow" ? 60 : 1);
  } else if (name == "refuse" || name == "accept") {
    group_.SetRefusalRate(name == "refuse" ? 1 : 0);
  } else if (name == "oblivious" || name == "attentive") {
    group_.SetForgettingRate(name == "oblivious" ? 1 : 0);
  } else {
    return false;
  }
  return true;
}

bool SiteServer::InjectMembershipFault(std::string_view name, size_t member) {
  if (name == "deaf" || name == "hear") {
    group_.SetReplicationCut(member, name == "deaf");
  } else if (name == "leave") {
    RemoveMember(member);
  } else if (name == "join") {
    if (group_.HasLeft(member)) {
      group_.Join(member);
      stopped_at_.erase(member);
      return Listen(member);
    }
  } else {
    return false;
  }
  return true;
}

void SiteServer::StopMember(size_t member, bool is_silent) {
  group_.Crash(member, is_silent);
  stopped_at_.try_emplace(member, loop_.Now());
  if (!is_silent) {
    // The host refuses connections.
    databases_[member]->Stop();
  }
}

bool SiteServer::RestartMember(size_t member) {
  if (group_.IsRunning(member) || group_.HasLeft(member)) {
    return true;
  }
  group_.Restart(member);
  stopped_at_.erase(member);
  // Its entry may have expired.
  published_endpoints_.erase(member);
  return Listen(member);
}

bool SiteServer::Listen(size_t member) {
  databases_[member]->Stop();
  return !databases_[member]->Listen({settings_.host, GetPort(member + 1)});
}

void SiteServer::RemoveMember(size_t member) {
  if (group_.HasLeft(member)) {
    return;
  }
  group_.Leave(member);
  draining_[member] = false;
  published_endpoints_.erase(member);
  store_.Remove("servers", group_.GetId(member));
}

void SiteServer::PublishConfig() {
  Json::Value root(Json::objectValue);
  root["version"] = Json::UInt64{config_version_};
  for (const auto& [name, kind] :
       {std::pair("entries", "primary"), std::pair("lookups", "bounded"),
        std::pair("timesheets", "read_your_writes")}) {
    Json::Value route(Json::objectValue);
    route["name"] = name;
    route["host"] = name;
    route["kind"] = kind;
    route["service"] = std::string(kService);
    route["timeout-ms"] = 1000;
    route["target-latency-ms"] = 800;
    route["priority"] = 1;
    route["max-staleness-ms"] = 1500;
    root["routes"].append(std::move(route));
  }
  Json::Value service(Json::objectValue);
  service["name"] = std::string(kService);
  service["max-conns"] = settings_.group.max_connections;
  service["sync-replicas"] = 1;
  root["services"].append(std::move(service));
  root["limits"]["tx-idle-ms"] = 3000;
  store_.Put("op", "config", FormatJson(root));
}

void SiteServer::PublishEndpoint(size_t member) {
  Json::Value root(Json::objectValue);
  root["service"] = std::string(kService);
  const int64_t port = settings_.advertised_base_port > 0
                           ? settings_.advertised_base_port + 1
                           : settings_.base_port + 1;
  root["address"] = settings_.host + ":" +
                    std::to_string(port + static_cast<int64_t>(member));
  root["zone"] = "site-" + std::to_string(member + 1);
  root["version"] = "v1";
  root["capacity"] = 4;
  root["state"] = draining_[member] ? "draining" : "ready";
  root["warmup-left-ms"] = 0;
  root["db-role"] = group_.HasPrimaryRole(member) ? "primary" : "replica";
  root["born"] = Json::Int64{group_.GetStartedAt(member)};
  if (std::string content = FormatJson(root);
      published_endpoints_[member] != content) {
    published_endpoints_[member] = std::move(content);
    root["sequence"] = Json::UInt64{++report_count_};
    store_.Put("servers", group_.GetId(member), FormatJson(root));
  }
}

void SiteServer::PublishEndpoints() {
  for (size_t it = 0; it < group_.CountMembers(); ++it) {
    if (group_.IsRunning(it)) {
      PublishEndpoint(it);
    } else if (const auto stopped = stopped_at_.find(it);
               stopped != stopped_at_.end() &&
               loop_.Now() - stopped->second >= kEntryRetention &&
               published_endpoints_.erase(it) > 0) {
      store_.Remove("servers", group_.GetId(it));
    }
  }
}

}  // namespace magnoliareel
