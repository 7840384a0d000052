#include "apps/node/traffic_thread.h"

#include <algorithm>
#include <array>
#include <utility>

namespace magnoliareel {
namespace {

// A caller that does not read its answers is disconnected when more than this
// many bytes wait for it: several of the longest answers.
constexpr size_t kMaxUnsentBytes = 8 * 1024 * 1024;

}  // namespace

void TrafficThread::Connection::HandleOpened() {
  owner->core_.HandleEndpointOpened(id);
  owner->FinishEvent();
}

void TrafficThread::Connection::HandleBytes(std::string_view bytes) {
  const bool has_session = remote != RemoteKind::kEndpoint;
  const Connections& connections =
      has_session ? owner->callers_ : owner->endpoints_;
  const uint64_t connection_id = id;
  Core& core = owner->core_;
  const bool valid = framer.Feed(bytes, [&](std::string_view line) {
    switch (remote) {
      case RemoteKind::kCaller:
        core.HandleCallerFrame(connection_id, line);
        break;
      case RemoteKind::kPeer:
        core.HandleForwardedFrame(connection_id, line);
        break;
      case RemoteKind::kEndpoint:
        core.HandleEndpointFrame(connection_id, line);
        break;
    }
    return connections.contains(connection_id);
  });
  if (!valid && connections.contains(connection_id)) {
    if (has_session) {
      core.RejectCaller(connection_id, StatementError::kTooLarge,
                        "message too long");
      owner->CloseCaller(connection_id);
      core.CloseSession(connection_id);
    } else {
      core.HandleEndpointClosed(connection_id,
                                std::make_error_code(std::errc::message_size));
    }
  }
  owner->FinishEvent();
}

void TrafficThread::Connection::HandleClosed(std::error_code ec) {
  TrafficThread& thread = *owner;
  const uint64_t connection_id = id;
  if (remote != RemoteKind::kEndpoint) {
    thread.RetireConnection(thread.callers_, connection_id);
    thread.RetireConnection(thread.ending_callers_, connection_id);
    thread.core_.CloseSession(connection_id);
  } else {
    thread.core_.HandleEndpointClosed(connection_id, ec);
    thread.RetireConnection(thread.endpoints_, connection_id);
  }
  thread.FinishEvent();
}

TrafficThread::TrafficThread(TrafficOptions options,
                             std::function<void(const TrafficNotice&)> notify,
                             StatementMetrics& metrics)
    : notify_(std::move(notify)),
      metrics_(metrics),
      wake_timer_(loop_,
                  [this] {
                    core_.HandleWake();
                    FinishEvent();
                  }),
      caller_listener_(loop_,
                       [this](Stream stream) {
                         Accept(std::move(stream), RemoteKind::kCaller);
                       }),
      peer_listener_(loop_,
                     [this](Stream stream) {
                       Accept(std::move(stream), RemoteKind::kPeer);
                     }),
      core_(*this, std::move(options)),
      mailbox_(loop_, [this](const std::function<void()>& task) {
        task();
        FinishEvent();
      }) {}

TrafficThread::~TrafficThread() {
  Stop();
}

std::error_code TrafficThread::Start(const SocketAddress& callers,
                                     const SocketAddress& peers) {
  if (const std::error_code ec = caller_listener_.Listen(callers)) {
    return ec;
  }
  if (peers.port != 0) {
    if (const std::error_code ec = peer_listener_.Listen(peers)) {
      return ec;
    }
  }
  thread_ = std::thread([this] { loop_.Run(); });
  return {};
}

void TrafficThread::Publish(std::shared_ptr<const FleetView> view) {
  mailbox_.Post([this, view = std::move(view)]() mutable {
    core_.Apply(std::move(view));
  });
}

void TrafficThread::AnnouncePrimary(const ServiceId& service,
                                    const EndpointId& endpoint) {
  mailbox_.Post(
      [this, service, endpoint] { core_.AnnouncePrimary(service, endpoint); });
}

void TrafficThread::HoldCommits(const ServiceId& service,
                                const EndpointId& successor) {
  mailbox_.Post(
      [this, service, successor] { core_.HoldCommits(service, successor); });
}

void TrafficThread::ReleaseCommits(const ServiceId& service) {
  mailbox_.Post([this, service] { core_.ReleaseCommits(service); });
}

void TrafficThread::QueryOpenConnection(const EndpointId& endpoint,
                                        std::function<void(bool)> done) {
  mailbox_.Post([this, endpoint, done = std::move(done)] {
    done(core_.HasOpenConnection(endpoint));
  });
}

void TrafficThread::QueryAnsweredCommit(
    const ServiceId& service,
    std::function<void(std::optional<LogPoint>)> done) {
  mailbox_.Post([this, service, done = std::move(done)] {
    done(core_.FindAnsweredCommit(service));
  });
}

void TrafficThread::HandleBoundQuery(
    const FreshnessBoundQuery& query,
    std::function<void(const FreshnessBound&)> answer) {
  mailbox_.Post([this, query, answer = std::move(answer)]() mutable {
    core_.HandleBoundQuery(query, std::move(answer));
  });
}

void TrafficThread::RecordPeerBound(const FreshnessBound& bound,
                                    TimePoint sent_at) {
  mailbox_.Post(
      [this, bound, sent_at] { core_.RecordPeerBound(bound, sent_at); });
}

void TrafficThread::RequestPrimaryBound(const ServiceId& service) {
  mailbox_.Post([this, service] { core_.RequestPrimaryBound(service); });
}

void TrafficThread::BeginDrain(Duration transaction_grace_period,
                               Duration statement_grace_period) {
  mailbox_.Post([this, transaction_grace_period, statement_grace_period] {
    core_.BeginDrain(transaction_grace_period, statement_grace_period);
  });
}

void TrafficThread::CollectGauges(std::function<void(GaugeSnapshot)> done) {
  mailbox_.Post([this, done = std::move(done)] {
    GaugeSnapshot gauges("magnoliareel");
    const auto add = [&](std::string_view name, std::string_view help,
                         const auto& get) {
      for (const auto& [id, pool] : core_.GetPools()) {
        gauges.Add(
            name, help,
            {{"endpoint", id.value}, {"service", pool.entry.service.value}},
            get(pool));
      }
    };
    add("endpoint_connections", "Connections of this VM to the endpoint.",
        [](const EndpointPool& it) { return it.connections.size(); });
    add("endpoint_running", "Statements of this VM that run there.",
        [](const EndpointPool& it) { return it.running; });
    add("endpoint_queued", "Statements that wait here for the endpoint.",
        [](const EndpointPool& it) { return it.queue.size(); });
    add("endpoint_limit", "Statements that this VM lets run there at a time.",
        [](const EndpointPool& it) { return it.GetConcurrencyLimit(); });
    add("endpoint_failures", "Failures since the endpoint's last answer.",
        [](const EndpointPool& it) { return it.failures; });
    add("endpoint_ejected", "1 while only probes are sent to the endpoint.",
        [](const EndpointPool& it) {
          return it.record.ejection.IsEjected() ? 1 : 0;
        });
    add("endpoint_latency_seconds", "Expected time of one more statement.",
        [](const EndpointPool& it) {
          return std::chrono::duration<double>(it.EstimateLatency()).count();
        });
    const TrafficCounters& counters = core_.GetCounters();
    gauges.Add("sessions", "Callers' sessions.", {},
               static_cast<double>(core_.CountSessions()));
    gauges.Add("statements_retried", "Statements sent again, since the start.",
               {}, static_cast<double>(counters.retried));
    gauges.Add("statements_hedged", "Slow reads sent twice, since the start.",
               {}, static_cast<double>(counters.hedged));
    gauges.Add("connections_opened", "Connections opened, since the start.", {},
               static_cast<double>(counters.connections_opened));
    gauges.Add("statements_forwarded",
               "Statements sent to other VMs that hold the connections.", {},
               static_cast<double>(counters.forwarded));
    gauges.Add("statements_run_for_peers",
               "Statements run for other VMs, since the start.", {},
               static_cast<double>(counters.run_for_peers));
    gauges.Add("holder_failures",
               "Failures of VMs to which statements are forwarded.", {},
               static_cast<double>(counters.holder_failures));
    gauges.Add("connections_refused",
               "Connections over an endpoint's limit, since the start.", {},
               static_cast<double>(counters.connections_refused));
    gauges.Add("statements_refused_busy",
               "Statements that full endpoints refused, since the start.", {},
               static_cast<double>(counters.refused_busy));
    gauges.Add(
        "commit_losses",
        "Changes of a primary after which an answered commit was missing.", {},
        static_cast<double>(counters.commit_losses));
    gauges.Add("commits_held",
               "Statements that waited or were not run because their primary "
               "was being replaced.",
               {}, static_cast<double>(counters.commits_held));
    gauges.Add("prepares_refused",
               "PREPAREs that endpoints refused, since the start.", {},
               static_cast<double>(counters.prepares_refused));
    gauges.Add("prepares_deallocated",
               "Least recently used names that were given up, since the start.",
               {}, static_cast<double>(counters.prepares_deallocated));
    gauges.Add("session_values_refused",
               "Changes of session values that endpoints refused, since the "
               "start.",
               {}, static_cast<double>(counters.values_refused));
    gauges.Add("unknown_names",
               "Executions whose name the endpoint did not know, since the "
               "start.",
               {}, static_cast<double>(counters.unknown_names));
    constexpr std::array<const char*, kPlacementLevelCount> kLevels = {
        "site", "region", "remote"};
    for (size_t it = 0; it < kLevels.size(); ++it) {
      gauges.Add("reads_placed",
                 "Reads for which an endpoint was chosen by measured cost, "
                 "since the start.",
                 {{"level", kLevels[it]}},
                 static_cast<double>(counters.reads_placed[it]));
    }
    // The last level has no other to leave for.
    for (size_t it = 0; it + 1 < kLevels.size(); ++it) {
      for (const auto& [id, service] : core_.GetServices()) {
        gauges.Add("reads_leaving_share",
                   "Largest share of a route's reads that leaves the level.",
                   {{"service", id.value}, {"level", kLevels[it]}},
                   service.read_placement.GetSpilloverShare(
                       static_cast<PlacementLevel>(it)));
      }
    }
    const PreparedTotals prepared = core_.CountPrepared();
    gauges.Add("prepared_names",
               "Names of prepared statements on connections of this VM.", {},
               static_cast<double>(prepared.names));
    gauges.Add("prepared_bytes",
               "Length of the shapes prepared on connections of this VM.", {},
               static_cast<double>(prepared.shape_bytes));
    done(std::move(gauges));
  });
}

void TrafficThread::StopAccepting() {
  mailbox_.Post([this] { caller_listener_.Stop(); });
}

void TrafficThread::Stop() {
  if (!thread_.joinable()) {
    return;
  }
  mailbox_.Post([this] { loop_.Stop(); });
  thread_.join();
  retired_connections_.clear();
  callers_.clear();
  ending_callers_.clear();
  endpoints_.clear();
}

void TrafficThread::Accept(Stream stream, RemoteKind remote) {
  auto connection = std::make_unique<Connection>();
  Connection& it = *connection;
  it.owner = this;
  it.id = next_caller_id_++;
  it.remote = remote;
  if (remote == RemoteKind::kPeer) {
    it.framer = platform::LineFramer(platform::LineFramer::kMaxLineBytes +
                                     kMaxForwardingOverheadBytes);
  }
  it.stream = std::move(stream);
  callers_.emplace(it.id, std::move(connection));
  if (remote == RemoteKind::kPeer) {
    core_.OpenForwardedSession(it.id);
  } else {
    core_.OpenSession(it.id);
  }
  it.stream.Serve(it);
}

std::string& TrafficThread::GetBuffer(Connections& connections, uint64_t id) {
  const auto it = connections.find(id);
  if (it == connections.end()) {
    discard_buffer_.clear();
    return discard_buffer_;
  }
  Connection& connection = *it->second;
  if (!std::exchange(connection.dirty, true)) {
    dirty_connections_.push_back(&connection);
  }
  return connection.stream.GetBuffer();
}

std::string& TrafficThread::GetCallerBuffer(uint64_t id) {
  return GetBuffer(callers_, id);
}

std::string& TrafficThread::GetEndpointBuffer(uint64_t id) {
  return GetBuffer(endpoints_, id);
}

void TrafficThread::OpenEndpoint(uint64_t id, const SocketAddress& address) {
  auto connection = std::make_unique<Connection>();
  connection->owner = this;
  connection->id = id;
  Connection& it = *endpoints_.emplace(id, std::move(connection)).first->second;
  it.stream.Connect(loop_, address, it);
}

void TrafficThread::CloseEndpoint(uint64_t id) {
  RetireConnection(endpoints_, id);
}

void TrafficThread::CloseCaller(uint64_t id) {
  const auto it = callers_.find(id);
  if (it == callers_.end()) {
    return;
  }
  // The end of an answer may not have been accepted by the kernel yet.
  if (it->second->stream.CloseWhenSent()) {
    ending_callers_.emplace(id, std::move(it->second));
    callers_.erase(it);
  } else {
    RetireConnection(callers_, id);
  }
}

void TrafficThread::RetireConnection(Connections& connections, uint64_t id) {
  const auto it = connections.find(id);
  if (it == connections.end()) {
    return;
  }
  // The connection is freed after the current event, because it may be the
  // object that is handling that event.
  it->second->stream.Close();
  it->second->dirty = true;
  retired_connections_.push_back(std::move(it->second));
  connections.erase(it);
}

bool TrafficThread::HasUnread(uint64_t id) const {
  const auto it = callers_.find(id);
  return it != callers_.end() && it->second->stream.HasUnread();
}

void TrafficThread::Wake(TimePoint time) {
  wake_timer_.StartOnce(std::max(Duration(0), time - Now()));
}

void TrafficThread::Report(const ConditionReport& report) {
  TrafficNotice notice;
  notice.report = report;
  notify_(notice);
}

void TrafficThread::OnPrimaryConfirmed(const EndpointId& endpoint, Term term) {
  TrafficNotice notice;
  notice.report.endpoint = endpoint;
  notice.primary_confirmed = true;
  notice.term = term;
  notify_(notice);
}

void TrafficThread::RequestPeerBound(const FreshnessBoundQuery& query) {
  TrafficNotice notice;
  notice.query = query;
  notify_(notice);
}

void TrafficThread::FinishEvent() {
  // Closing a caller's session may append to the buffers of other connections.
  while (!dirty_connections_.empty()) {
    Connection* it = dirty_connections_.back();
    dirty_connections_.pop_back();
    it->dirty = false;
    if (!it->stream.IsOpen()) {
      continue;
    }
    it->stream.Flush();
    if (it->remote != RemoteKind::kEndpoint &&
        it->stream.GetUnsentBytes() > kMaxUnsentBytes) {
      const uint64_t id = it->id;
      RetireConnection(callers_, id);
      RetireConnection(ending_callers_, id);
      core_.CloseSession(id);
    }
  }
  retired_connections_.clear();
  session_count_.store(core_.CountSessions() + ending_callers_.size());
}

}  // namespace magnoliareel
