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

void TrafficThread::BeginDrain(const DrainPeriods& periods) {
  mailbox_.Post([this, periods] { core_.BeginDrain(periods); });
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
  return it != callers_.end() && (it->second->framer.GetBufferedBytes() > 0 ||
                                  it->second->stream.HasUnread());
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
  core_.FinishEvent();
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
