#include "standins/endpoint/endpoint_server.h"

#include <algorithm>
#include <utility>

#include "codec/codec.h"
#include "standins/endpoint/statement.h"

namespace magnoliareel::standin {
namespace {

constexpr size_t kLoopCapacity = 100000;
constexpr Duration kReplicaHold = std::chrono::milliseconds(500);
constexpr Duration kReplicaTimeout = std::chrono::milliseconds(1000);
constexpr Duration kRetryPause = std::chrono::milliseconds(20);

bool TakesSlot(EndpointVerb verb) {
  switch (verb) {
    case EndpointVerb::kRead:
    case EndpointVerb::kWrite:
    case EndpointVerb::kBegin:
    case EndpointVerb::kCommit:
    case EndpointVerb::kRollback:
    case EndpointVerb::kSettle:
      return true;
    default:
      return false;
  }
}

bool HasEffect(EndpointVerb verb) {
  return verb == EndpointVerb::kWrite || verb == EndpointVerb::kCommit;
}

HttpServerOptions MakeServerOptions(const SocketAddress& listen) {
  HttpServerOptions options;
  options.listen = listen;
  options.max_body_bytes = 4 * 1024 * 1024;
  return options;
}

}  // namespace

EndpointServer::EndpointServer(EndpointSettings settings)
    : settings_(std::move(settings)),
      database_(static_cast<size_t>(settings_.connections)),
      loop_(kLoopCapacity),
      server_(MakeServerOptions(settings_.listen),
              [this](HttpRequest request, const HttpResponder& responder) {
                loop_.Post([this, request = std::move(request), responder] {
                  Accept(request, responder);
                });
              }) {
  faults_.lag = std::chrono::milliseconds(settings_.lag_ms);
}

std::error_code EndpointServer::Start() {
  return server_.Start();
}

void EndpointServer::Accept(HttpRequest request,
                            const HttpResponder& responder) {
  if (request.path == "/fault") {
    AcceptFault(request.body, responder);
  } else if (faults_.is_cut) {
    unheard_.push_back(responder);
  } else {
    AcceptCall(request.body, responder);
  }
}

void EndpointServer::AcceptFault(const std::string& body,
                                 const HttpResponder& responder) {
  Findings findings;
  ParseFaults(body, faults_, findings);
  if (!findings.IsEmpty()) {
    responder.Send({400, findings.FormatLines(), "text/plain"});
    return;
  }
  database_.SetLeaving(faults_.is_leaving);
  if (!faults_.is_cut) {
    for (const HttpResponder& it : std::exchange(unheard_, {})) {
      it.Drop();
    }
  }
  responder.Send({200, "{}"});
  NoteChange();
}

void EndpointServer::AcceptCall(const std::string& body,
                                const HttpResponder& responder) {
  Findings findings;
  EndpointCall call = ParseEndpointCall(body, findings);
  if (!findings.IsEmpty()) {
    responder.Send({400, findings.FormatLines(), "text/plain"});
    return;
  }
  if (TakesSlot(call.verb)) {
    queue_.push_back({std::move(call), responder});
    StartReady();
  } else if (call.verb == EndpointVerb::kConnect) {
    loop_.After(std::chrono::milliseconds(settings_.connect_ms),
                [this, call, responder] {
                  Answer(call, database_.Handle(call), responder);
                });
  } else if (call.verb == EndpointVerb::kWatch) {
    HoldWatch(std::move(call), responder);
  } else if (call.verb == EndpointVerb::kReplicate) {
    HoldReplica(std::move(call), responder);
  } else {
    Answer(call, database_.Handle(call), responder);
    NoteChange();
  }
}

void EndpointServer::StartReady() {
  while (running_ < settings_.slots && !queue_.empty()) {
    Running running = std::move(queue_.front());
    queue_.pop_front();
    ++running_;
    const Duration run_time = GetRunTime(running.call);
    loop_.After(run_time, [this, running = std::move(running)] {
      FinishRunning(running);
    });
  }
}

void EndpointServer::FinishRunning(const Running& running) {
  --running_;
  Answer(running.call, database_.Handle(running.call), running.responder);
  StartReady();
  NoteChange();
}

void EndpointServer::HoldWatch(EndpointCall call,
                               const HttpResponder& responder) {
  const EndpointReport report = database_.GetReport();
  const bool is_news = report.last != call.after || report.term != call.term;
  if (is_news || call.wait == Duration::zero()) {
    Answer(call, database_.Handle(call), responder);
    return;
  }
  const uint64_t id = next_watcher_++;
  const Duration wait = call.wait;
  watchers_.push_back({std::move(call), responder, id});
  loop_.After(wait, [this, id] {
    const auto it = std::find_if(watchers_.begin(), watchers_.end(),
                                 [id](const Watcher& w) { return w.id == id; });
    if (it != watchers_.end()) {
      Watcher watcher = std::move(*it);
      watchers_.erase(it);
      Answer(watcher.call, database_.Handle(watcher.call), watcher.responder);
    }
  });
}

void EndpointServer::HoldReplica(EndpointCall call,
                                 const HttpResponder& responder) {
  if (faults_.is_replication_cut) {
    unheard_.push_back(responder);
    return;
  }
  call.wait = kReplicaHold;
  EndpointAnswer answer = database_.Handle(call);
  // A replica that is not yet aligned with the term must learn of it at once.
  if (answer.ec || !answer.records.empty()) {
    Answer(call, std::move(answer), responder);
    return;
  }
  HoldWatch(std::move(call), responder);
}

void EndpointServer::AnswerWatchers() {
  is_answering_watchers_ = false;
  for (Watcher& it : std::exchange(watchers_, {})) {
    Answer(it.call, database_.Handle(it.call), it.responder);
  }
}

void EndpointServer::NoteChange() {
  if (!is_answering_watchers_) {
    is_answering_watchers_ = true;
    loop_.Post([this] { AnswerWatchers(); });
  }
  FollowPrimary();
}

void EndpointServer::Answer(const EndpointCall& call,
                            EndpointAnswer answer,
                            const HttpResponder& responder) {
  if (faults_.is_cut) {
    unheard_.push_back(responder);
    return;
  }
  if (HasEffect(call.verb) && !answer.ec && faults_.answers_to_lose > 0) {
    --faults_.answers_to_lose;
    responder.Drop();
    return;
  }
  Duration delay = faults_.latency;
  if (TakesSlot(call.verb) && faults_.answers_to_delay > 0) {
    --faults_.answers_to_delay;
    delay += faults_.answer_delay;
  }
  HttpResponse response{200, FormatEndpointAnswer(answer)};
  if (delay == Duration::zero()) {
    responder.Send(std::move(response));
    return;
  }
  loop_.After(delay, [responder, response = std::move(response)] {
    responder.Send(response);
  });
}

void EndpointServer::FollowPrimary() {
  const auto call = database_.MakeReplicateCall();
  HttpCall fetch;
  if (is_fetching_ || !call ||
      !ParseSocketAddress(database_.GetPrimaryAddress(), fetch.address)) {
    return;
  }
  is_fetching_ = true;
  if (faults_.is_cut || faults_.is_replication_cut) {
    NoteReplicated(*call, HttpReply{Error::kUnreachable, 0, {}});
    return;
  }
  fetch.path = "/call";
  fetch.body = FormatEndpointCall(*call);
  fetch.timeout = kReplicaTimeout;
  client_.Send(std::move(fetch), [this, call = *call](HttpReply reply) {
    loop_.Post([this, call, reply = std::move(reply)] {
      loop_.After(faults_.lag,
                  [this, call, reply] { NoteReplicated(call, reply); });
    });
  });
}

void EndpointServer::NoteReplicated(const EndpointCall& call,
                                    const HttpReply& reply) {
  Findings findings;
  const bool is_heard =
      !reply.ec && !faults_.is_cut && !faults_.is_replication_cut;
  const EndpointAnswer answer =
      is_heard ? ParseEndpointAnswer(reply.body, findings) : EndpointAnswer{};
  if (!is_heard || !findings.IsEmpty() ||
      (answer.ec && answer.ec != Error::kDiverged)) {
    loop_.After(kRetryPause, [this] {
      is_fetching_ = false;
      FollowPrimary();
    });
    return;
  }
  is_fetching_ = false;
  database_.Replicate(call, answer);
  NoteChange();
}

Duration EndpointServer::GetRunTime(const EndpointCall& call) const {
  const auto statement = ParseStatement(call.statement);
  if (statement && statement->work) {
    return *statement->work;
  }
  return std::chrono::microseconds(settings_.run_us);
}

}  // namespace magnoliareel::standin
