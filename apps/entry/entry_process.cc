#include "apps/entry/entry_process.h"

#include <random>
#include <utility>
#include <vector>

#include "apps/support/deployment_log.h"
#include "codec/codec.h"

namespace magnoliareel {
namespace {

constexpr size_t kLoopCapacity = 20000;

HttpServerOptions MakeServerOptions(const EntrySettings& settings) {
  HttpServerOptions options;
  options.listen = settings.listen;
  options.max_body_bytes = static_cast<size_t>(settings.max_body_bytes);
  options.max_connections = static_cast<unsigned>(settings.max_connections);
  options.threads = static_cast<unsigned>(settings.threads);
  return options;
}

void SendAnswer(const CallerAnswer& answer, const HttpResponder& responder) {
  responder.Send({GetHttpStatus(answer), FormatCallerAnswer(answer)});
}

void SendErrorAnswer(Error error, const HttpResponder& responder) {
  CallerAnswer answer;
  answer.ec = error;
  SendAnswer(answer, responder);
}

}  // namespace

template <EntryPolicy P>
EntryProcess<P>::EntryProcess(EntrySettings settings)
    : settings_(std::move(settings)),
      sealer_(settings_.token_keys),
      metrics_("magnoliareel_entry"),
      loop_(kLoopCapacity),
      link_(client_),
      platform_(loop_,
                client_,
                settings_.platform,
                PlatformKeys{settings_.environment}),
      rpc_(loop_, client_),
      state_(loop_),
      service_(loop_,
               link_,
               state_,
               sealer_,
               {{settings_.site}, std::random_device{}()}),
      deployment_watcher_(loop_, platform_, MakeDeploymentEvents()),
      document_poller_(loop_,
                       rpc_,
                       std::random_device{}(),
                       [this](const DocumentOffer& offer) {
                         deployment_watcher_.Offer(offer.version, offer.text);
                       }),
      document_forwarder_(loop_, rpc_),
      server_(MakeServerOptions(settings_),
              [this](HttpRequest request, const HttpResponder& responder) {
                HandleHttpRequest(std::move(request), responder);
              }) {
  document_poller_.SetPeers(settings_.peers);
}

template <EntryPolicy P>
std::error_code EntryProcess<P>::Start() {
  loop_.Post([this] {
    deployment_watcher_.Start();
    document_poller_.Start();
  });
  if (const auto ec = server_.Start()) {
    LogEvent(Event::kCannotListen, {{"listen", settings_.listen.Format()}});
    loop_.Stop();
    return ec;
  }
  LogStarted("magnoliareel-entry", settings_.vm, settings_.listen);
  return {};
}

template <EntryPolicy P>
void EntryProcess<P>::Stop() {
  LogEvent(Event::kStopping,
           {{"in_progress", std::to_string(server_.CountInProgress())}});
  is_draining_ = true;
  server_.Drain(std::chrono::milliseconds(settings_.drain_ms));
  loop_.Stop();
  LogEvent(Event::kStopped, {{"program", "magnoliareel-entry"}});
}

template <EntryPolicy P>
DeploymentEvents EntryProcess<P>::MakeDeploymentEvents() {
  return MakeLoggedEvents(
      [this](std::shared_ptr<const Deployment> deployment) {
        ApplyDeployment(std::move(deployment));
      },
      [this](std::error_code ec) { document_poller_.SetEnabled(bool(ec)); });
}

template <EntryPolicy P>
void EntryProcess<P>::ApplyDeployment(
    std::shared_ptr<const Deployment> deployment) {
  std::vector<std::string> peers = settings_.peers;
  for (const VmEntry& it : deployment->vms) {
    peers.push_back(it.pooler_address);
  }
  document_poller_.SetPeers(std::move(peers));
  pending_deployment_ = std::move(deployment);
  if (!is_forwarding_) {
    ApplyPendingDeployment();
  }
}

/** Applies the newest deployment after its document was sent to the pooler of
    this VM. Otherwise an entry that starts while the platform is unavailable
    could accept a key that this entry has rejected. */
template <EntryPolicy P>
void EntryProcess<P>::ApplyPendingDeployment() {
  const VmEntry* vm = pending_deployment_->FindVm(VmId{settings_.vm});
  if (vm == nullptr || pending_deployment_->version == forwarded_version_) {
    state_.Apply(std::move(pending_deployment_));
    return;
  }
  forwarded_version_ = pending_deployment_->version;
  is_forwarding_ = true;
  document_forwarder_.Forward(
      vm->pooler_address, {forwarded_version_, deployment_watcher_.GetText()},
      [this] {
        is_forwarding_ = false;
        ApplyPendingDeployment();
      });
}

template <EntryPolicy P>
void EntryProcess<P>::HandleHttpRequest(HttpRequest request,
                                        const HttpResponder& responder) {
  if (request.path == "/metrics") {
    responder.Send({200, metrics_.RenderText(), "text/plain"});
  } else if (!FindVerbForPath(request.path)) {
    SendErrorAnswer(Error::kUnknownPath, responder);
  } else if (request.method != "POST") {
    SendErrorAnswer(Error::kUnknownMethod, responder);
  } else if (request.is_too_large) {
    SendErrorAnswer(Error::kBodyTooLarge, responder);
  } else if (is_draining_) {
    SendErrorAnswer(Error::kShuttingDown, responder);
  } else {
    HandleCallerRequest(std::move(request), responder);
  }
}

template <EntryPolicy P>
void EntryProcess<P>::HandleCallerRequest(HttpRequest request,
                                          const HttpResponder& responder) {
  CallerAnswer error_answer;
  CallerRequest parsed = ParseCallerRequest(
      *FindVerbForPath(request.path), request.body, error_answer.findings);
  parsed.caller.value = std::move(request.caller);
  parsed.key = std::move(request.key);
  if (error_answer.findings.IsEmpty()) {
    Serve(std::move(parsed), responder);
    return;
  }
  error_answer.request = parsed.request;
  error_answer.ec = error_answer.findings.GetList().front().code;
  SendAnswer(error_answer, responder);
}

template <EntryPolicy P>
void EntryProcess<P>::Serve(CallerRequest request,
                            const HttpResponder& responder) {
  const TimePoint arrived_at = loop_.Now();
  CallerRequest observed;
  observed.caller = request.caller;
  observed.work_class = request.work_class;
  service_.Serve(std::move(request),
                 [this, observed = std::move(observed), arrived_at,
                  responder](const CallerAnswer& answer) {
                   FinishRequest(observed, arrived_at, answer, responder);
                 });
}

template <EntryPolicy P>
void EntryProcess<P>::FinishRequest(const CallerRequest& request,
                                    TimePoint arrived_at,
                                    const CallerAnswer& answer,
                                    const HttpResponder& responder) {
  const Duration total = loop_.Now() - arrived_at;
  // An unverified caller name must not become a metric label, because every
  // label value creates a time series.
  const bool is_known =
      answer.ec != Error::kUnknownCaller && answer.ec != Error::kBadKey;
  metrics_.Observe({is_known ? request.caller.value : "unknown",
                    GetWorkClassName(request.work_class), answer.outcome,
                    Duration::zero(), total, total});
  if (answer.ec == Error::kBadKey) {
    LogEvent(Event::kBadKeyRefused, {{"caller", request.caller.value}});
  } else if (answer.ec == Error::kForgedToken) {
    LogEvent(Event::kForgedTokenRefused, {{"caller", request.caller.value}});
  }
  SendAnswer(answer, responder);
}

template class EntryProcess<StandardEntryPolicy>;
template class EntryProcess<PrimaryReadsPolicy>;
template class EntryProcess<StaleReadsPolicy>;
template class EntryProcess<AssumeNotRunPolicy>;
template class EntryProcess<NoProbesPolicy>;

}  // namespace magnoliareel
