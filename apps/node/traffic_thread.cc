#include "apps/node/traffic_thread.h"

#include <algorithm>
#include <utility>

namespace magnoliareel {
namespace {

// A caller that does not read is cut off when this much waits for it: several
// of the longest answers.
constexpr size_t kMostUnsent = 8 * 1024 * 1024;

}  // namespace

void TrafficThread::Link::HandleOpened() {
  owner->core_.HandleEndpointOpened(id);
  owner->EndEvent();
}

void TrafficThread::Link::HandleBytes(std::string_view bytes) {
  const Links& links = from_caller ? owner->callers_ : owner->endpoints_;
  const uint64_t own_id = id;
  Core& core = owner->core_;
  const bool whole = framer.Feed(bytes, [&](std::string_view line) {
    if (from_caller) {
      core.HandleCallerFrame(own_id, line);
    } else {
      core.HandleEndpointFrame(own_id, line);
    }
    return links.contains(own_id);
  });
  if (!whole && links.contains(own_id)) {
    if (from_caller) {
      core.RejectCaller(own_id, Refusal::kTooLarge, "message too long");
      owner->CloseCaller(own_id);
      core.CloseSession(own_id);
    } else {
      core.HandleEndpointClosed(own_id,
                                std::make_error_code(std::errc::message_size));
    }
  }
  owner->EndEvent();
}

void TrafficThread::Link::HandleClosed(std::error_code ec) {
  TrafficThread& thread = *owner;
  const uint64_t own_id = id;
  if (from_caller) {
    thread.Retire(thread.callers_, own_id);
    thread.core_.CloseSession(own_id);
  } else {
    thread.core_.HandleEndpointClosed(own_id, ec);
    thread.Retire(thread.endpoints_, own_id);
  }
  thread.EndEvent();
}

TrafficThread::TrafficThread(TrafficOptions options,
                             std::function<void(const TrafficNotice&)> notify,
                             StatementMetrics& metrics)
    : notify_(std::move(notify)),
      metrics_(metrics),
      wake_timer_(loop_,
                  [this] {
                    core_.HandleWake();
                    EndEvent();
                  }),
      listener_(loop_, [this](Stream stream) { Accept(std::move(stream)); }),
      core_(*this, std::move(options)),
      mailbox_(loop_, [this](const std::function<void()>& task) {
        task();
        EndEvent();
      }) {}

TrafficThread::~TrafficThread() {
  Stop();
}

std::error_code TrafficThread::Start(const SocketAddress& address) {
  if (const std::error_code ec = listener_.Listen(address)) {
    return ec;
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

void TrafficThread::AnswerBound(const BoundQuestion& question,
                                std::function<void(const PeerBound&)> answer) {
  mailbox_.Post([this, question, answer = std::move(answer)]() mutable {
    core_.AnswerBound(question, std::move(answer));
  });
}

void TrafficThread::TakeBound(const PeerBound& bound, TimePoint asked_at) {
  mailbox_.Post([this, bound, asked_at] { core_.TakeBound(bound, asked_at); });
}

void TrafficThread::AskPrimary(const ServiceId& service) {
  mailbox_.Post([this, service] { core_.AskPrimary(service); });
}

void TrafficThread::BeginDrain(Duration transaction_grace,
                               Duration statement_grace) {
  mailbox_.Post([this, transaction_grace, statement_grace] {
    core_.BeginDrain(transaction_grace, statement_grace);
  });
}

void TrafficThread::Collect(std::function<void(GaugePage)> done) {
  mailbox_.Post([this, done = std::move(done)] {
    GaugePage page("magnoliareel");
    const auto add = [&](std::string_view name, std::string_view help,
                         const auto& get) {
      for (const auto& [id, pool] : core_.GetPools()) {
        page.Add(
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
        [](const EndpointPool& it) { return it.GetLimit(); });
    add("endpoint_failures", "Failures since the endpoint's last answer.",
        [](const EndpointPool& it) { return it.failures; });
    add("endpoint_latency_seconds", "Expected time of one more statement.",
        [](const EndpointPool& it) {
          return std::chrono::duration<double>(it.EstimateLatency()).count();
        });
    const TrafficCounters& counters = core_.GetCounters();
    page.Add("sessions", "Callers' sessions.", {},
             static_cast<double>(core_.CountSessions()));
    page.Add("statements_retried", "Statements sent again, since the start.",
             {}, static_cast<double>(counters.retried));
    page.Add("statements_hedged", "Slow reads sent twice, since the start.", {},
             static_cast<double>(counters.hedged));
    page.Add("connections_opened", "Connections opened, since the start.", {},
             static_cast<double>(counters.connections_opened));
    done(std::move(page));
  });
}

void TrafficThread::StopAccepting() {
  mailbox_.Post([this] { listener_.Stop(); });
}

void TrafficThread::Stop() {
  if (!thread_.joinable()) {
    return;
  }
  mailbox_.Post([this] { loop_.Stop(); });
  thread_.join();
  retired_.clear();
  callers_.clear();
  endpoints_.clear();
}

void TrafficThread::Accept(Stream stream) {
  auto link = std::make_unique<Link>();
  Link& it = *link;
  it.owner = this;
  it.id = next_caller_++;
  it.from_caller = true;
  it.stream = std::move(stream);
  callers_.emplace(it.id, std::move(link));
  core_.OpenSession(it.id);
  it.stream.Serve(it);
}

std::string& TrafficThread::GetBuffer(Links& links, uint64_t id) {
  const auto it = links.find(id);
  if (it == links.end()) {
    discarded_.clear();
    return discarded_;
  }
  Link& link = *it->second;
  if (!std::exchange(link.dirty, true)) {
    dirty_.push_back(&link);
  }
  return link.stream.GetBuffer();
}

std::string& TrafficThread::GetCallerBuffer(uint64_t id) {
  return GetBuffer(callers_, id);
}

std::string& TrafficThread::GetEndpointBuffer(uint64_t id) {
  return GetBuffer(endpoints_, id);
}

void TrafficThread::OpenEndpoint(uint64_t id, const SocketAddress& address) {
  auto link = std::make_unique<Link>();
  link->owner = this;
  link->id = id;
  Link& it = *endpoints_.emplace(id, std::move(link)).first->second;
  it.stream.Connect(loop_, address, it);
}

void TrafficThread::CloseEndpoint(uint64_t id) {
  Retire(endpoints_, id);
}

void TrafficThread::CloseCaller(uint64_t id) {
  Retire(callers_, id);
}

void TrafficThread::Retire(Links& links, uint64_t id) {
  const auto it = links.find(id);
  if (it == links.end()) {
    return;
  }
  // Freed when the event is over: the link may be the one that is handling it.
  it->second->stream.Close();
  it->second->dirty = true;
  retired_.push_back(std::move(it->second));
  links.erase(it);
}

bool TrafficThread::HasUnread(uint64_t id) const {
  const auto it = callers_.find(id);
  return it != callers_.end() && it->second->stream.HasUnread();
}

void TrafficThread::Wake(TimePoint moment) {
  wake_timer_.StartOnce(std::max(Duration(0), moment - Now()));
}

void TrafficThread::Report(const ConditionReport& report) {
  TrafficNotice notice;
  notice.report = report;
  notify_(notice);
}

void TrafficThread::LeaderSeen(const EndpointId& endpoint, Term term) {
  TrafficNotice notice;
  notice.report.endpoint = endpoint;
  notice.proven_leader = true;
  notice.term = term;
  notify_(notice);
}

void TrafficThread::AskPeers(const BoundQuestion& question) {
  TrafficNotice notice;
  notice.question = question;
  notify_(notice);
}

void TrafficThread::EndEvent() {
  // Cutting a caller off may fill further buffers.
  while (!dirty_.empty()) {
    Link* it = dirty_.back();
    dirty_.pop_back();
    it->dirty = false;
    if (!it->stream.IsOpen()) {
      continue;
    }
    it->stream.Flush();
    if (it->from_caller && it->stream.GetUnsent() > kMostUnsent) {
      const uint64_t id = it->id;
      CloseCaller(id);
      core_.CloseSession(id);
    }
  }
  retired_.clear();
  sessions_.store(core_.CountSessions());
}

}  // namespace magnoliareel
