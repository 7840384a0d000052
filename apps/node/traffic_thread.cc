#include "apps/node/traffic_thread.h"

#include <algorithm>
#include <array>
#include <utility>

namespace magnoliareel {
namespace {

// A caller that does not read its answers is disconnected when more than this
// many bytes wait for it: several of the longest answers.
constexpr size_t kMaxUnsentBytes = 8 * 1024 * 1024;
// Bounds what the kernel holds of a caller that is not read. With the default,
// it is several MiB for each connection. Larger than nearly all statements, so
// that these still arrive in one window.
constexpr int kReceiveBufferBytes = 32 * 1024;
// Interval at which stalled connections are looked for while others wait.
constexpr Duration kStallCheckInterval = std::chrono::milliseconds(500);
constexpr Duration kLimitLogInterval = std::chrono::seconds(1);

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
    has_spoken = true;
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
  } else if (has_session &&
             (has_line || pauses != 0 ||
              framer.GetBufferedBytes() > kShortLineBytes) &&
             connections.contains(connection_id)) {
    owner->line_budget_.RecordReceived(connection_id, bytes.size());
    owner->UpdateLine(*this);
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
                             StatementMetrics& metrics,
                             size_t max_descriptors)
    : notify_(std::move(notify)),
      metrics_(metrics),
      wake_timer_(loop_,
                  [this] {
                    core_.HandleWake();
                    FinishEvent();
                  }),
      line_budget_(options.memory.medium_lines, options.memory.long_lines),
      line_timer_(loop_,
                  [this] {
                    CloseStalled();
                    FinishEvent();
                  }),
      max_unsent_bytes_(options.memory.unsent),
      descriptors_(GetMaxAccepted(max_descriptors)),
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
  if (const std::error_code ec =
          caller_listener_.Listen(callers, kReceiveBufferBytes)) {
    return ec;
  }
  if (peers.port != 0) {
    if (const std::error_code ec =
            peer_listener_.Listen(peers, kReceiveBufferBytes)) {
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

void TrafficThread::ApplySlots(std::optional<SlotAssignment> assignment,
                               TimePoint valid_until) {
  mailbox_.Post([this, assignment = std::move(assignment), valid_until] {
    core_.ApplySlots(assignment ? &*assignment : nullptr, valid_until);
  });
}

void TrafficThread::ApplyLenders(std::vector<PermitLender> lenders) {
  mailbox_.Post(
      [this, lenders = std::move(lenders)] { core_.ApplyLenders(lenders); });
}

void TrafficThread::HandlePermitRequest(
    const PermitRequest& request,
    std::function<void(const PermitGrant&)> done) {
  mailbox_.Post([this, request, done = std::move(done)] {
    done(core_.HandlePermitRequest(request));
  });
}

void TrafficThread::HandlePermitGrant(const VmId& from,
                                      const PermitGrant& grant) {
  mailbox_.Post([this, from, grant] { core_.HandlePermitGrant(from, grant); });
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
    gauges.Add("callers_unauthorized",
               "Sessions refused or ended because no team has their key.", {},
               static_cast<double>(counters.callers_unauthorized));
    gauges.Add("connections_evicted",
               "Idle connections closed for another team, since the start.", {},
               static_cast<double>(counters.connections_evicted));
    const AllowanceCounters& allowances = core_.GetAllowanceCounters();
    gauges.Add("statements_over_limit",
               "Statements refused because their team is over its limit.", {},
               static_cast<double>(counters.refused_over_limit));
    gauges.Add("slots", "Slots from which this VM issues permits.", {},
               static_cast<double>(core_.CountOwnSlots()));
    gauges.Add("permits_granted", "Operations on permits of this VM's slots.",
               {}, static_cast<double>(allowances.granted));
    gauges.Add("permits_borrowed", "Operations on permits of other VMs.", {},
               static_cast<double>(allowances.borrowed));
    gauges.Add("permits_lent", "Permits given to other VMs.", {},
               static_cast<double>(allowances.lent));
    for (const auto& [reason, count] :
         {std::pair("empty", allowances.refused_empty),
          std::pair("unreachable", allowances.refused_unreachable),
          std::pair("waiting", allowances.refused_waiting),
          std::pair("queued", allowances.refused_queued)}) {
      gauges.Add("permits_refused", "Operations refused without a permit.",
                 {{"reason", reason}}, static_cast<double>(count));
    }
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
    CollectLimitGauges(gauges);
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
  const uint64_t id = next_caller_id_++;
  const uint64_t victim = descriptors_.Admit(
      id, callers_.size() + ending_callers_.size(), [this](uint64_t mute) {
        const auto found = callers_.find(mute);
        return found != callers_.end() && !found->second->has_spoken;
      });
  if (victim == id) {
    ++limit_counters_.callers_refused;
    stream.Close();
    LogLimits();
    return;
  }
  if (victim != 0) {
    ++limit_counters_.mute_closed;
    DropCaller(victim);
  }
  auto connection = std::make_unique<Connection>();
  Connection& it = *connection;
  it.owner = this;
  it.id = id;
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
  if (victim != 0) {
    FinishEvent();
  }
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
    if (std::exchange(it->second->has_line, false)) {
      line_budget_.Release(id);
      ResumeGranted();
    }
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
  if (it->second->has_line) {
    line_budget_.Release(id);
    ResumeGranted();
  }
  CountUnsent(*it->second, 0);
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

void TrafficThread::PauseCaller(uint64_t id) {
  if (const auto it = callers_.find(id); it != callers_.end()) {
    SetPaused(*it->second, kBacklog, true);
  }
}

void TrafficThread::ResumeCaller(uint64_t id) {
  if (const auto it = callers_.find(id); it != callers_.end()) {
    SetPaused(*it->second, kBacklog, false);
  }
}

void TrafficThread::SetPaused(Connection& connection,
                              PauseReason reason,
                              bool is_paused) {
  const unsigned before = connection.pauses;
  connection.pauses = is_paused ? before | reason : before & ~reason;
  if (before == 0 && connection.pauses != 0) {
    connection.stream.Pause();
  } else if (before != 0 && connection.pauses == 0) {
    connection.stream.Resume();
  }
}

void TrafficThread::UpdateLine(Connection& connection) {
  const uint64_t id = connection.id;
  const bool is_busy = core_.IsBusy(id);
  if (connection.has_line) {
    line_budget_.SetInUse(id, is_busy, Now());
    // Another VM asks for a sign of life while its statement is in progress.
    const bool is_ahead =
        connection.remote == RemoteKind::kCaller ||
        connection.framer.GetBufferedBytes() > kShortLineBytes;
    SetPaused(connection, kLineInUse, is_busy && is_ahead);
    if (is_busy) {
      return;
    }
  }
  const LineClass wanted = ClassifyLine(connection.framer.GetBufferedBytes() +
                                        core_.GetBacklogBytes(id));
  if (wanted == LineClass::kShort) {
    if (std::exchange(connection.has_line, false)) {
      line_budget_.Release(id);
      SetPaused(connection, kAwaitsLine, false);
      ResumeGranted();
    }
    return;
  }
  connection.has_line = true;
  switch (line_budget_.Request(id, wanted, Now())) {
    case LineDecision::kRead:
      SetPaused(connection, kAwaitsLine, false);
      break;
    case LineDecision::kWait:
      SetPaused(connection, kAwaitsLine, true);
      if (!std::exchange(checks_stalls_, true)) {
        line_timer_.StartRepeating(kStallCheckInterval);
      }
      break;
    case LineDecision::kClose:
      connection.has_line = false;
      ++limit_counters_.lines_refused;
      DropCaller(id);
      break;
  }
}

void TrafficThread::ResumeGranted() {
  for (const uint64_t it : line_budget_.TakeGranted(Now())) {
    if (const auto found = callers_.find(it); found != callers_.end()) {
      SetPaused(*found->second, kAwaitsLine, false);
    }
  }
}

void TrafficThread::CloseStalled() {
  for (const uint64_t it : line_budget_.FindStalled(Now())) {
    ++limit_counters_.lines_stalled;
    DropCaller(it);
  }
  LogLimits();
  if (line_budget_.CountWaiting() == 0) {
    checks_stalls_ = false;
    line_timer_.Stop();
  }
}

void TrafficThread::CountUnsent(Connection& connection, size_t bytes) {
  unsent_bytes_ += bytes - std::exchange(connection.unsent, bytes);
}

void TrafficThread::LimitUnsent() {
  while (unsent_bytes_ > max_unsent_bytes_) {
    // Some may have been sent since they were counted.
    Connection* most = nullptr;
    for (Connections* connections : {&callers_, &ending_callers_}) {
      for (const auto& [id, it] : *connections) {
        if (it->unsent == 0) {
          continue;
        }
        CountUnsent(*it, it->stream.GetUnsentBytes());
        if (most == nullptr || it->unsent > most->unsent) {
          most = it.get();
        }
      }
    }
    if (most == nullptr || unsent_bytes_ <= max_unsent_bytes_) {
      return;
    }
    ++limit_counters_.answers_unread;
    DropCaller(most->id);
  }
}

void TrafficThread::DropCaller(uint64_t id) {
  RetireConnection(callers_, id);
  RetireConnection(ending_callers_, id);
  core_.CloseSession(id);
}

void TrafficThread::LogLimits() {
  const LimitCounters& now = limit_counters_;
  LimitCounters& last = logged_limits_;
  const uint64_t closed = now.lines_stalled + now.lines_refused +
                          now.answers_unread + now.mute_closed +
                          now.callers_refused - last.lines_stalled -
                          last.lines_refused - last.answers_unread -
                          last.mute_closed - last.callers_refused;
  if (closed == 0 || Now() - limits_logged_at_ < kLimitLogInterval) {
    return;
  }
  LogEvent(Event::kLimitsApplied,
           {{"lines_stalled",
             std::to_string(now.lines_stalled - last.lines_stalled)},
            {"lines_refused",
             std::to_string(now.lines_refused - last.lines_refused)},
            {"answers_unread",
             std::to_string(now.answers_unread - last.answers_unread)},
            {"mute_closed", std::to_string(now.mute_closed - last.mute_closed)},
            {"callers_refused",
             std::to_string(now.callers_refused - last.callers_refused)},
            {"lines_waiting", std::to_string(line_budget_.CountWaiting())},
            {"held_bytes", std::to_string(core_.GetHeldText().GetTotal())}});
  last = now;
  limits_logged_at_ = Now();
}

void TrafficThread::CollectLimitGauges(GaugeSnapshot& gauges) const {
  const LimitCounters& limits = limit_counters_;
  const auto add = [&](std::string_view name, std::string_view help,
                       uint64_t value) {
    gauges.Add(name, help, {}, static_cast<double>(value));
  };
  add("long_lines", "Places for long lines in use.", line_budget_.CountTaken());
  add("long_lines_waiting", "Connections that wait for such a place.",
      line_budget_.CountWaiting());
  add("held_text_bytes", "Values and prepared statements of all sessions.",
      core_.GetHeldText().GetTotal());
  add("statement_text_bytes", "Texts of long statements in progress.",
      core_.GetStatementText().GetTotal());
  add("unsent_bytes", "Answers that callers have not read.", unsent_bytes_);
  add("held_text_refused",
      "Values and prepared statements refused for lack of memory.",
      core_.GetHeldText().CountRefused());
  add("statement_text_refused", "Statements refused for lack of memory.",
      core_.GetStatementText().CountRefused());
  add("lines_stalled",
      "Connections closed because their line did not progress.",
      limits.lines_stalled);
  add("lines_refused", "Connections closed because too many lines waited.",
      limits.lines_refused);
  add("answers_unread", "Connections closed because of unread answers.",
      limits.answers_unread);
  add("mute_closed", "Connections without a message closed for a new one.",
      limits.mute_closed);
  add("callers_refused", "Connections beyond the limit, since the start.",
      limits.callers_refused);
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

void TrafficThread::SendPermitRequest(const VmId& to,
                                      const PermitRequest& request) {
  TrafficNotice notice;
  notice.permit_request.emplace(to, request);
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
    if (it->remote == RemoteKind::kEndpoint) {
      continue;
    }
    const size_t unsent = it->stream.GetUnsentBytes();
    if (unsent > kMaxUnsentBytes) {
      ++limit_counters_.answers_unread;
      DropCaller(it->id);
      continue;
    }
    if (unsent != it->unsent) {
      CountUnsent(*it, unsent);
      LimitUnsent();
    }
    if (it->has_line && it->stream.IsOpen()) {
      UpdateLine(*it);
    }
  }
  retired_connections_.clear();
  session_count_.store(core_.CountSessions() + ending_callers_.size());
}

}  // namespace magnoliareel
