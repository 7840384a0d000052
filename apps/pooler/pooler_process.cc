#include "apps/pooler/pooler_process.h"

#include <algorithm>
#include <future>
#include <random>
#include <utility>

#include "apps/support/deployment_log.h"
#include "codec/codec.h"
#include "seal/seal.h"

namespace magnoliareel {
namespace {

constexpr size_t kLoopCapacity = 20000;
/** Leaves room for the largest configuration document and its escapes. */
constexpr size_t kMaxBodyBytes = 20 * 1024 * 1024;
constexpr Duration kObserveTimeout = std::chrono::milliseconds(150);
constexpr Duration kTransactionPollInterval = std::chrono::milliseconds(20);

HttpServerOptions MakeServerOptions(const SocketAddress& listen) {
  HttpServerOptions options;
  options.listen = listen;
  options.max_body_bytes = kMaxBodyBytes;
  return options;
}

std::string FormatMilliseconds(Duration span) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

/** Runs a function on the control thread, blocks until it has run, and returns
    its result. */
template <class F>
auto RunOnControlThread(ControlLoop& loop, F function) {
  std::promise<decltype(function())> promise;
  auto result = promise.get_future();
  loop.Post([&] { promise.set_value(function()); });
  return result.get();
}

}  // namespace

template <PoolerPolicy P>
PoolerProcess<P>::PoolerProcess(PoolerSettings settings)
    : settings_(std::move(settings)),
      incarnation_(MakeRandomId()),
      metrics_("magnoliareel_pooler"),
      deployment_(std::make_shared<const Deployment>()),
      loop_(kLoopCapacity),
      link_(loop_,
            client_,
            settings_.endpoints,
            settings_.vm + "-" + incarnation_),
      platform_(loop_,
                client_,
                settings_.platform,
                PlatformKeys{settings_.environment}),
      rpc_(loop_, client_),
      deployment_watcher_(loop_, platform_, MakeDeploymentEvents()),
      document_poller_(loop_,
                       rpc_,
                       std::random_device{}(),
                       [this](const DocumentOffer& offer) {
                         deployment_watcher_.Offer(offer.version, offer.text);
                       }),
      server_(MakeServerOptions(settings_.listen),
              [this](HttpRequest request, const HttpResponder& responder) {
                HandleHttpRequest(std::move(request), responder);
              }) {
  document_poller_.SetPeers(settings_.peers);
  RegisterRpcMethods();
}

template <PoolerPolicy P>
std::error_code PoolerProcess<P>::Start() {
  RunOnControlThread(loop_, [this] {
    core_ = std::make_unique<Core>(loop_, link_, platform_, MakeOptions());
    deployment_watcher_.Start();
    if constexpr (P::kAsksPeers) {
      document_poller_.Start();
    }
    return true;
  });
  if (const auto ec = server_.Start()) {
    LogEvent(Event::kCannotListen, {{"listen", settings_.listen.Format()}});
    loop_.Stop();
    return ec;
  }
  LogStarted("magnoliareel-pooler", settings_.vm, settings_.listen);
  return {};
}

template <PoolerPolicy P>
void PoolerProcess<P>::Stop() {
  LogEvent(Event::kStopping,
           {{"in_progress", std::to_string(server_.CountInProgress())}});
  RunOnControlThread(loop_, [this] {
    core_->BeginDrain();
    return true;
  });
  WaitForOpenTransactions();
  server_.Drain(std::chrono::milliseconds(settings_.drain_ms));
  loop_.Stop();
  LogEvent(Event::kStopped, {{"program", "magnoliareel-pooler"}});
}

template <PoolerPolicy P>
void PoolerProcess<P>::WaitForOpenTransactions() {
  const TimePoint deadline =
      loop_.Now() +
      std::chrono::milliseconds(settings_.transaction_grace_period_ms);
  const auto count = [this] { return core_->CountTransactions(); };
  while (RunOnControlThread(loop_, count) > 0 && loop_.Now() < deadline) {
    std::this_thread::sleep_for(kTransactionPollInterval);
  }
  RunOnControlThread(loop_, [this] {
    core_->EndTransactions("shutdown");
    return true;
  });
}

template <PoolerPolicy P>
PoolerOptions PoolerProcess<P>::MakeOptions() {
  PoolerOptions options;
  options.vm.value = settings_.vm;
  options.incarnation = incarnation_;
  options.timing.suspect_timeout =
      std::chrono::milliseconds(settings_.suspect_timeout_ms);
  options.seed = std::random_device{}();
  options.address_of = [this](const EndpointId& endpoint) {
    const SocketAddress* address = settings_.endpoints.Find(endpoint);
    return address == nullptr ? std::string() : address->Format();
  };
  options.confirm_lost = [this](const GroupId& group,
                                const EndpointId& endpoint,
                                const std::function<void(bool)>& done) {
    RequestLossConfirmation(group, endpoint, done);
  };
  options.events = MakeEvents();
  return options;
}

template <PoolerPolicy P>
PoolerEvents PoolerProcess<P>::MakeEvents() {
  PoolerEvents events;
  events.on_primary = [](const GroupId& group, const PrimaryView& primary) {
    LogEvent(Event::kPrimaryLearned,
             {{"group", group.value},
              {"primary", primary.endpoint.value},
              {"term", std::to_string(primary.term.value)}});
  };
  events.on_reachability = [](const EndpointId& endpoint, bool is_reachable) {
    LogEvent(
        is_reachable ? Event::kEndpointReachable : Event::kEndpointUnreachable,
        {{"endpoint", endpoint.value}});
  };
  events.on_leaving = [](const EndpointId& endpoint) {
    LogEvent(Event::kEndpointLeaving, {{"endpoint", endpoint.value}});
  };
  events.on_promotion_started = [](const GroupId& group, Term term,
                                   PromotionReason reason) {
    LogEvent(Event::kPromotionStarted,
             {{"group", group.value},
              {"term", std::to_string(term.value)},
              {"reason", std::string(GetPromotionReasonName(reason))}});
  };
  events.on_promotion_ended = [](const GroupId& group,
                                 const PromotionResult& result, Duration took) {
    if (result.ec) {
      LogEvent(Event::kPromotionFailed,
               {{"group", group.value},
                {"term", std::to_string(result.term.value)},
                {"error", std::string(GetErrorName(result.ec))}});
      return;
    }
    LogEvent(Event::kPromotionDone,
             {{"group", group.value},
              {"primary", result.primary.value},
              {"term", std::to_string(result.term.value)},
              {"took_ms", FormatMilliseconds(took)}});
  };
  events.on_grant = [](const GroupId& group, std::error_code ec) {
    if (ec) {
      LogEvent(
          Event::kGrantMissing,
          {{"group", group.value}, {"error", std::string(GetErrorName(ec))}});
    } else {
      LogEvent(Event::kGrantWritten, {{"group", group.value}});
    }
  };
  events.on_rollback = [](const TransactionId& transaction,
                          std::string_view reason) {
    LogEvent(Event::kTransactionRolledBack, {{"transaction", transaction.value},
                                             {"reason", std::string(reason)}});
  };
  events.on_ack_missed = [](const GroupId& group, LogPoint point) {
    LogEvent(Event::kAcknowledgementMissed,
             {{"group", group.value},
              {"position", std::to_string(point.position.value)}});
  };
  return events;
}

template <PoolerPolicy P>
DeploymentEvents PoolerProcess<P>::MakeDeploymentEvents() {
  return MakeLoggedEvents(
      [this](std::shared_ptr<const Deployment> deployment) {
        ApplyDeployment(std::move(deployment));
      },
      [this](std::error_code ec) { document_poller_.SetEnabled(bool(ec)); });
}

template <PoolerPolicy P>
void PoolerProcess<P>::ApplyDeployment(
    std::shared_ptr<const Deployment> deployment) {
  if (deployment->vms != deployment_->vms) {
    const auto& vms = deployment->vms;
    const auto leaving =
        std::count_if(vms.begin(), vms.end(),
                      [](const VmEntry& it) { return it.is_leaving; });
    LogEvent(Event::kVmListChanged,
             {{"live", std::to_string(std::ssize(vms) - leaving)},
              {"leaving", std::to_string(leaving)}});
    std::vector<std::string> peers = settings_.peers;
    for (const VmEntry& it : deployment->vms) {
      if (it.vm.value != settings_.vm) {
        peers.push_back(it.pooler_address);
      }
    }
    document_poller_.SetPeers(std::move(peers));
  }
  deployment_ = deployment;
  core_->Apply(std::move(deployment));
}

template <PoolerPolicy P>
void PoolerProcess<P>::RegisterRpcMethods() {
  dispatcher_.Add("observe", [this](const Json::Value& parameters) {
    Findings findings;
    const ObserveRequest request = DecodeObserveRequest(parameters, findings);
    ObserveAnswer answer;
    if (const GroupState* state = core_->GetTable().FindState(request.group)) {
      const MemberState* member = state->Find(request.endpoint);
      answer.is_watched = member != nullptr;
      answer.is_reachable = member != nullptr && member->is_reachable;
    }
    return EncodeObserveAnswer(answer);
  });
  dispatcher_.Add("document", [this](const Json::Value&) {
    return EncodeDocumentOffer(
        {deployment_watcher_.GetVersion(), deployment_watcher_.GetText()});
  });
  dispatcher_.Add("offer_document", [this](const Json::Value& parameters) {
    Findings findings;
    const DocumentOffer offer = DecodeDocumentOffer(parameters, findings);
    if (findings.IsEmpty()) {
      deployment_watcher_.Offer(offer.version, offer.text);
    }
    Json::Value result(Json::objectValue);
    result["version"] = Json::UInt64(deployment_watcher_.GetVersion());
    return result;
  });
  dispatcher_.Add("promote", [this](const Json::Value& parameters) {
    Findings findings;
    const PromoteRequest request = DecodePromoteRequest(parameters, findings);
    Json::Value result(Json::objectValue);
    result["accepted"] =
        findings.IsEmpty() && core_->OrderPromotion(request.group);
    return result;
  });
  dispatcher_.Add("status", [this](const Json::Value&) {
    return EncodePoolerStatus(GetStatus());
  });
}

template <PoolerPolicy P>
PoolerStatus PoolerProcess<P>::GetStatus() const {
  PoolerStatus status;
  status.vm.value = settings_.vm;
  status.version = deployment_->version;
  status.hash = deployment_->hash;
  status.in_progress = core_->CountInProgress();
  status.transactions = core_->CountTransactions();
  core_->GetTable().VisitGroups(
      [&status](const GroupId& group, const GroupState& state) {
        GroupStatus& it = status.groups.emplace_back();
        it.group = group;
        if (const auto primary = state.GetPrimary()) {
          it.primary = primary->endpoint;
          it.term = primary->term;
        }
        for (const MemberState& member : state.GetMembers()) {
          it.endpoints.push_back(
              {member.endpoint, member.is_reachable, member.report});
        }
      });
  core_->GetTable().VisitEndpoints([&status](const EndpointId& endpoint,
                                             size_t waiting, int64_t open) {
    status.runners.push_back({endpoint, waiting, static_cast<uint64_t>(open)});
  });
  return status;
}

template <PoolerPolicy P>
void PoolerProcess<P>::HandleHttpRequest(HttpRequest request,
                                         const HttpResponder& responder) {
  if (request.is_too_large) {
    responder.Send({413, "{}"});
  } else if (request.path == "/v1/run") {
    HandleRunRequest(request.body, responder);
  } else if (request.path == "/rpc") {
    HandleRpcRequest(std::move(request.body), responder);
  } else if (request.path == "/health") {
    // Answered by the control thread, so that a pooler whose control thread is
    // blocked fails the health check.
    loop_.Post([responder] { responder.Send({200, "{}"}); });
  } else if (request.path == "/metrics") {
    responder.Send({200, metrics_.RenderText(), "text/plain"});
  } else {
    responder.Send({404, "{}"});
  }
}

template <PoolerPolicy P>
void PoolerProcess<P>::HandleRunRequest(const std::string& body,
                                        const HttpResponder& responder) {
  Findings findings;
  PoolerRequest request = ParsePoolerRequest(body, findings);
  if (!findings.IsEmpty()) {
    responder.Send({400, findings.FormatLines(), "text/plain"});
    return;
  }
  PoolerAnswer overload_answer;
  overload_answer.request = request.request;
  overload_answer.ec = Error::kOverloaded;
  const bool is_queued =
      loop_.TryPost([this, request = std::move(request), responder] {
        core_->Submit(
            request,
            [this, caller = request.caller, work_class = request.work_class,
             arrived = loop_.Now(), responder](const PoolerAnswer& answer,
                                               const PoolerTimings& timings) {
              metrics_.Observe({caller.value, GetWorkClassName(work_class),
                                answer.outcome, timings.waited, timings.ran,
                                loop_.Now() - arrived});
              responder.Send({200, FormatPoolerAnswer(answer)});
            });
      });
  if (!is_queued) {
    responder.Send({200, FormatPoolerAnswer(overload_answer)});
  }
}

template <PoolerPolicy P>
void PoolerProcess<P>::HandleRpcRequest(std::string body,
                                        const HttpResponder& responder) {
  const bool is_queued =
      loop_.TryPost([this, body = std::move(body), responder] {
        responder.Send({200, dispatcher_.Handle(body)});
      });
  if (!is_queued) {
    responder.Send({503, "{}"});
  }
}

template <PoolerPolicy P>
void PoolerProcess<P>::RequestLossConfirmation(
    const GroupId& group,
    const EndpointId& endpoint,
    const std::function<void(bool)>& done) {
  for (const VmId& it : deployment_->ownership.GetDrivers(group)) {
    const VmEntry* vm = deployment_->FindVm(it);
    if (vm == nullptr || vm->vm.value == settings_.vm) {
      continue;
    }
    rpc_.Call(vm->pooler_address, "observe",
              EncodeObserveRequest({group, endpoint}), kObserveTimeout,
              [done](const RpcReply& reply) {
                Findings findings;
                const ObserveAnswer answer =
                    reply.ec ? ObserveAnswer{}
                             : DecodeObserveAnswer(reply.result, findings);
                done(!(answer.is_watched && answer.is_reachable));
              });
    return;
  }
  loop_.Post([done] { done(true); });
}

template class PoolerProcess<StandardPolicy>;
template class PoolerProcess<FifoPolicy>;
template class PoolerProcess<OnDemandGrantsPolicy>;
template class PoolerProcess<PrimaryAcksPolicy>;
template class PoolerProcess<UnrecordedPolicy>;
template class PoolerProcess<UnpinnedPolicy>;
template class PoolerProcess<UnmatchedPolicy>;
template class PoolerProcess<LeavingIgnoredPolicy>;
template class PoolerProcess<NoPeersPolicy>;

}  // namespace magnoliareel
