#include "standins/platform/platform_server.h"

#include <utility>

#include "codec/codec.h"

namespace magnoliareel::standin {
namespace {

constexpr size_t kLoopCapacity = 100000;
constexpr std::string_view kTablePath = "/table/";
constexpr std::string_view kObjectPath = "/objects/";

HttpServerOptions MakeServerOptions(const SocketAddress& listen) {
  HttpServerOptions options;
  options.listen = listen;
  options.max_body_bytes = 16 * 1024 * 1024;
  return options;
}

HttpResponse MakeBadRequest(const Findings& findings) {
  return {400, findings.FormatLines(), "text/plain"};
}

}  // namespace

PlatformServer::PlatformServer(PlatformSettings settings)
    : settings_(std::move(settings)),
      loop_(kLoopCapacity),
      server_(MakeServerOptions(settings_.listen),
              [this](HttpRequest request, const HttpResponder& responder) {
                loop_.Post([this, request = std::move(request), responder] {
                  HandleRequest(request, responder);
                });
              }) {}

std::error_code PlatformServer::Start() {
  return server_.Start();
}

void PlatformServer::HandleRequest(const HttpRequest& request,
                                   const HttpResponder& responder) {
  if (request.path == "/fault") {
    HandleFaultRequest(request.body, responder);
    return;
  }
  if (request.path == "/counts") {
    responder.Send(ServeCounts());
    return;
  }
  if (request.path == "/vms") {
    HandleVmsRequest(request, responder);
    return;
  }
  if (faults_.is_unavailable) {
    unanswered_responders_.push_back(responder);
    return;
  }
  const bool is_write = request.method == "POST";
  if (!IsWithinRate(is_write)) {
    SendResponse({503, "rate exceeded", "text/plain"}, responder);
    return;
  }
  HttpResponse response = ServeStore(request);
  if (is_write && response.status == 200 && faults_.answers_to_lose > 0) {
    --faults_.answers_to_lose;
    responder.Drop();
    return;
  }
  SendResponse(std::move(response), responder);
}

void PlatformServer::HandleFaultRequest(const std::string& body,
                                        const HttpResponder& responder) {
  constexpr int64_t kMaxCount = 1000000;
  Findings findings;
  const Json::Value value = ParseJsonObject(body, findings);
  PlatformFaults changed = faults_;
  if (findings.IsEmpty()) {
    ObjectReader reader(value, "", findings);
    reader.ReadBool("out", Presence::kOptional, changed.is_unavailable);
    reader.ReadNumber("lose_answers", Presence::kOptional, 0, kMaxCount,
                      changed.answers_to_lose);
    reader.ReadMilliseconds("latency_ms", Presence::kOptional,
                            std::chrono::minutes(1), changed.latency);
    reader.RejectUnknownFields();
  }
  if (!findings.IsEmpty()) {
    responder.Send(MakeBadRequest(findings));
    return;
  }
  faults_ = changed;
  if (!faults_.is_unavailable) {
    for (const HttpResponder& it : std::exchange(unanswered_responders_, {})) {
      it.Drop();
    }
  }
  responder.Send({200, "{}"});
}

void PlatformServer::HandleVmsRequest(const HttpRequest& request,
                                      const HttpResponder& responder) {
  if (request.method == "POST") {
    Findings findings;
    std::vector<VmEntry> vms = ParseVmList(request.body, findings);
    if (!findings.IsEmpty()) {
      responder.Send(MakeBadRequest(findings));
      return;
    }
    model_.SetVms(std::move(vms));
  }
  responder.Send({200, FormatVmList(model_.GetVms())});
}

HttpResponse PlatformServer::ServeStore(const HttpRequest& request) {
  const bool is_write = request.method == "POST";
  (is_write ? write_count_ : read_count_) += 1;
  if (request.path == "/table" && is_write) {
    return ServeTableWrite(request.body);
  }
  if (request.path.starts_with(kTablePath) && !is_write) {
    const TableRow row = model_.GetRow(request.path.substr(kTablePath.size()));
    return row.version == 0 ? HttpResponse{404, "{}"}
                            : HttpResponse{200, FormatTableRow(row)};
  }
  if (request.path.starts_with(kObjectPath)) {
    const std::string name = request.path.substr(kObjectPath.size());
    if (is_write) {
      model_.PutObject(name, request.body);
      return {200, "{}"};
    }
    const auto object = model_.GetObject(name);
    return object ? HttpResponse{200, *object} : HttpResponse{404, "{}"};
  }
  return {404, "{}"};
}

HttpResponse PlatformServer::ServeTableWrite(const std::string& body) {
  Findings findings;
  const TableWrite write = ParseTableWrite(body, findings);
  if (!findings.IsEmpty()) {
    return MakeBadRequest(findings);
  }
  TableRow row;
  const std::error_code ec = model_.CompareAndSet(write, row);
  return {ec ? 409 : 200, FormatTableRow(row)};
}

HttpResponse PlatformServer::ServeCounts() const {
  Json::Value value(Json::objectValue);
  value["reads"] = Json::UInt64(read_count_);
  value["writes"] = Json::UInt64(write_count_);
  return {200, FormatJson(value)};
}

bool PlatformServer::IsWithinRate(bool is_write) {
  const TimePoint now = loop_.Now();
  if (now - rate_window_start_ >= std::chrono::seconds(1)) {
    rate_window_start_ = now;
    writes_in_window_ = 0;
    reads_in_window_ = 0;
  }
  return is_write ? ++writes_in_window_ <= settings_.writes_per_second
                  : ++reads_in_window_ <= settings_.reads_per_second;
}

void PlatformServer::SendResponse(HttpResponse response,
                                  const HttpResponder& responder) {
  if (faults_.latency == Duration::zero()) {
    responder.Send(std::move(response));
    return;
  }
  loop_.After(faults_.latency, [responder, response = std::move(response)] {
    responder.Send(response);
  });
}

}  // namespace magnoliareel::standin
