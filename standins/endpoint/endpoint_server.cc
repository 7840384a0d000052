#include "standins/endpoint/endpoint_server.h"

#include <optional>
#include <utility>

#include "codec/codec.h"

namespace magnoliareel::standin {
namespace {

constexpr size_t kLoopCapacity = 100000;
constexpr size_t kMaxBodyBytes = 4 * 1024 * 1024;
constexpr Duration kReplicationCallTimeout = std::chrono::milliseconds(1000);

HttpServerOptions MakeServerOptions(const SocketAddress& listen) {
  HttpServerOptions options;
  options.listen = listen;
  options.max_body_bytes = kMaxBodyBytes;
  return options;
}

std::optional<EndpointAnswer> ParseAnswer(const HttpResult& reply) {
  Findings findings;
  if (reply.ec || reply.status != 200) {
    return std::nullopt;
  }
  EndpointAnswer answer = ParseEndpointAnswer(reply.body, findings);
  return findings.IsEmpty() ? std::optional(std::move(answer)) : std::nullopt;
}

}  // namespace

EndpointServer::EndpointServer(const EndpointSettings& settings)
    : loop_(kLoopCapacity),
      model_(loop_,
             settings,
             [this](const std::string& address,
                    const EndpointCall& call,
                    const EndpointModel<ControlLoop>::FetchCompletion& done) {
               SendReplicationCall(address, call, done);
             }),
      server_(MakeServerOptions(settings.listen),
              [this](HttpRequest request, const HttpResponder& responder) {
                loop_.Post([this, request = std::move(request), responder] {
                  HandleRequest(request, responder);
                });
              }) {}

std::error_code EndpointServer::Start() {
  return server_.Start();
}

void EndpointServer::HandleRequest(const HttpRequest& request,
                                   const HttpResponder& responder) {
  if (request.path == "/fault") {
    HandleFaultRequest(request.body, responder);
    return;
  }
  if (request.path == "/counts") {
    Json::Value value(Json::objectValue);
    value["statements"] = Json::UInt64(model_.CountStatements());
    responder.Send({200, FormatJson(value)});
    return;
  }
  Findings findings;
  EndpointCall call = ParseEndpointCall(request.body, findings);
  if (!findings.IsEmpty()) {
    responder.Send({400, findings.FormatLines(), "text/plain"});
    return;
  }
  model_.Accept(std::move(call),
                {[responder](const EndpointAnswer& answer) {
                   responder.Send({200, FormatEndpointAnswer(answer)});
                 },
                 [responder] { responder.Drop(); }});
}

void EndpointServer::HandleFaultRequest(const std::string& body,
                                        const HttpResponder& responder) {
  Findings findings;
  EndpointFaults faults = model_.GetFaults();
  ParseEndpointFaults(body, faults, findings);
  if (!findings.IsEmpty()) {
    responder.Send({400, findings.FormatLines(), "text/plain"});
    return;
  }
  model_.SetFaults(faults);
  responder.Send({200, "{}"});
}

void EndpointServer::SendReplicationCall(
    const std::string& address,
    const EndpointCall& call,
    const EndpointModel<ControlLoop>::FetchCompletion& done) {
  HttpCall fetch;
  if (!ParseSocketAddress(address, fetch.address)) {
    loop_.Post([done] { done(std::nullopt); });
    return;
  }
  fetch.path = "/call";
  fetch.body = FormatEndpointCall(call);
  fetch.timeout = kReplicationCallTimeout;
  client_.Send(std::move(fetch), [this, done](const HttpResult& reply) {
    loop_.Post([done, answer = ParseAnswer(reply)] { done(answer); });
  });
}

}  // namespace magnoliareel::standin
