/** @file
    @brief Measures the latency that entry and pooler add to a read, the reads
    per second through one entry, and the entry's memory for an idle caller
    connection. Run by scripts/measure-path.
*/
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <future>
#include <string>
#include <vector>

#include "codec/codec.h"
#include "http/http.h"
#include "process/process.h"
#include "settings/settings.h"

namespace magnoliareel {
namespace {

/** Settings of measure-path. */
struct MeasureSettings {
  SocketAddress entry;
  SocketAddress endpoint;
  std::string caller;
  std::string key;
  std::string service;
  std::string record = "measured";
  int64_t rounds = 3000;
  int64_t concurrency = 64;
  int64_t connections = 1000;
  int64_t entry_pid = 0;
};

/** Sends a call and blocks until its result is there. */
HttpResult SendAndWait(HttpClient& client, HttpCall call) {
  std::promise<HttpResult> promise;
  auto reply = promise.get_future();
  client.Send(std::move(call),
              [&promise](HttpResult it) { promise.set_value(std::move(it)); });
  return reply.get();
}

/** Measures a running deployment through one entry and one endpoint. */
class PathMeasurement {
 public:
  explicit PathMeasurement(MeasureSettings settings)
      : settings_(std::move(settings)) {}

  /** Runs all measurements and prints their results.

      @returns false if the entry or the endpoint does not answer
  */
  bool Run() {
    if (!OpenSession() || !OpenConnection()) {
      std::fputs("the entry or the endpoint does not answer\n", stderr);
      return false;
    }
    MeasureAddedLatency();
    MeasureThroughput();
    MeasureIdleConnections();
    return true;
  }

 private:
  HttpCall MakeCall(const SocketAddress& address,
                    std::string path,
                    std::string body) const {
    HttpCall call;
    call.address = address;
    call.path = std::move(path);
    call.body = std::move(body);
    call.timeout = std::chrono::seconds(5);
    call.headers = {"X-Magnoliareel-Caller: " + settings_.caller,
                    "X-Magnoliareel-Key: " + settings_.key};
    return call;
  }

  bool OpenSession() {
    CallerRequest request;
    request.verb = CallerVerb::kOpenSession;
    request.request.value = "open";
    request.service.value = settings_.service;
    Findings findings;
    const HttpResult reply = SendAndWait(
        client_,
        MakeCall(settings_.entry, "/v1/session", FormatCallerRequest(request)));
    token_ = ParseCallerAnswer(reply.body, findings).token;
    return !token_.empty();
  }

  bool OpenConnection() {
    EndpointCall call;
    call.verb = EndpointVerb::kConnect;
    call.client = "measure-path";
    call.connection.value = "measure-path-1";
    Findings findings;
    const HttpResult reply = SendAndWait(
        client_,
        MakeCall(settings_.endpoint, "/call", FormatEndpointCall(call)));
    const EndpointAnswer answer = ParseEndpointAnswer(reply.body, findings);
    term_ = answer.report.term;
    return !reply.ec && !answer.ec && findings.IsEmpty();
  }

  HttpCall MakeRead() {
    CallerRequest request;
    request.verb = CallerVerb::kRead;
    request.request.value = "r" + std::to_string(next_request_number_++);
    request.token = token_;
    request.record_key = settings_.record;
    request.statement = "get " + settings_.record;
    return MakeCall(settings_.entry, "/v1/statement",
                    FormatCallerRequest(request));
  }

  HttpCall MakeDirectRead() {
    EndpointCall call;
    call.verb = EndpointVerb::kRead;
    call.client = "measure-path";
    call.term = term_;
    call.connection.value = "measure-path-1";
    call.request = "d" + std::to_string(next_request_number_++);
    call.statement = "get " + settings_.record;
    return MakeCall(settings_.endpoint, "/call", FormatEndpointCall(call));
  }

  int64_t MeasureCallTime(HttpCall call) {
    const TimePoint began = clock_.Now();
    const HttpResult reply = SendAndWait(client_, std::move(call));
    failures_ += reply.ec || reply.status != 200 ? 1 : 0;
    return (clock_.Now() - began).count();
  }

  void MeasureAddedLatency() {
    std::vector<int64_t> direct;
    std::vector<int64_t> proxied;
    for (int64_t n = 0; n < settings_.rounds; ++n) {
      direct.push_back(MeasureCallTime(MakeDirectRead()));
      proxied.push_back(MeasureCallTime(MakeRead()));
    }
    std::sort(direct.begin(), direct.end());
    std::sort(proxied.begin(), proxied.end());
    const auto get_quantile = [](const std::vector<int64_t>& sorted,
                                 double quantile) {
      return sorted[static_cast<size_t>(
          quantile * static_cast<double>(sorted.size() - 1))];
    };
    for (const double quantile : {0.5, 0.99}) {
      std::printf(
          "p%.0f: direct %ld us, through the proxy %ld us, added %ld us\n",
          quantile * 100, get_quantile(direct, quantile),
          get_quantile(proxied, quantile),
          get_quantile(proxied, quantile) - get_quantile(direct, quantile));
    }
    std::printf("failures: %ld of %ld\n", failures_, 2 * settings_.rounds);
  }

  void MeasureThroughput() {
    constexpr Duration kThroughputPeriod = std::chrono::seconds(4);
    const TimePoint end = clock_.Now() + kThroughputPeriod;
    std::atomic<int64_t> completed = 0;
    std::atomic<int64_t> remaining = settings_.concurrency;
    std::promise<void> finished;
    std::function<void()> send_next = [&] {
      if (clock_.Now() >= end) {
        if (--remaining == 0) {
          finished.set_value();
        }
        return;
      }
      client_.Send(MakeRead(), [&](const HttpResult& reply) {
        completed += !reply.ec && reply.status == 200 ? 1 : 0;
        send_next();
      });
    };
    for (int64_t n = 0; n < settings_.concurrency; ++n) {
      client_.Send(MakeRead(), [&](const HttpResult&) { send_next(); });
    }
    finished.get_future().wait();
    std::printf("throughput: %ld reads/s with %ld in progress\n",
                completed / std::chrono::duration_cast<std::chrono::seconds>(
                                kThroughputPeriod)
                                .count(),
                settings_.concurrency);
  }

  int64_t ReadEntryMemoryKb() const {
    std::ifstream file("/proc/" + std::to_string(settings_.entry_pid) +
                       "/status");
    std::string word;
    while (file >> word) {
      if (word == "VmRSS:") {
        int64_t kb = 0;
        file >> kb;
        return kb;
      }
    }
    return 0;
  }

  void MeasureIdleConnections() {
    const int64_t before = ReadEntryMemoryKb();
    std::vector<int> sockets;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(settings_.entry.port);
    inet_pton(AF_INET, settings_.entry.host.c_str(), &address.sin_addr);
    const std::string request = "GET /v1/none HTTP/1.1\r\nHost: entry\r\n\r\n";
    for (int64_t n = 0; n < settings_.connections; ++n) {
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      char buf[1024];
      if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
              0 ||
          write(fd, request.data(), request.size()) < 0 ||
          read(fd, buf, sizeof(buf)) <= 0) {
        close(fd);
        break;
      }
      sockets.push_back(fd);
    }
    const int64_t after = ReadEntryMemoryKb();
    if (!sockets.empty()) {
      std::printf("idle connections: %zu, %.1f KiB each\n", sockets.size(),
                  static_cast<double>(after - before) /
                      static_cast<double>(sockets.size()));
    }
    for (const int it : sockets) {
      close(it);
    }
  }

  const MeasureSettings settings_;
  SteadyClock clock_;
  HttpClient client_;
  std::string token_;
  Term term_;
  std::atomic<int64_t> next_request_number_ = 0;
  int64_t failures_ = 0;
};

int Run(std::span<char* const> args) {
  MeasureSettings settings;
  Findings findings;
  FlagTable table("measure-path",
                  "Measures the path through entry and pooler.");
  table.AddAddress("entry", "address of an entry", true, settings.entry);
  table.AddAddress("endpoint", "address of an endpoint", true,
                   settings.endpoint);
  table.AddText("caller", "name of the caller to send as", true,
                settings.caller);
  table.AddText("key", "key of the caller", true, settings.key);
  table.AddText("service", "service to use", true, settings.service);
  table.AddNumber("rounds", "number of reads, direct and through the proxy", 10,
                  1000000, settings.rounds);
  table.AddNumber("concurrency", "number of reads in progress at a time", 1,
                  10000, settings.concurrency);
  table.AddNumber("connections", "number of idle connections to open", 1, 10000,
                  settings.connections);
  table.AddNumber("entry-pid",
                  "process id of the entry, whose memory is measured", 0,
                  INT64_MAX, settings.entry_pid);
  if (const auto result = table.Parse(args, findings);
      result != FlagResult::kRun) {
    return ReportSettingsFindings(result, findings);
  }
  return PathMeasurement(settings).Run() ? kExitOk : kExitFailed;
}

}  // namespace
}  // namespace magnoliareel

int main(int argc, char** argv) {
  return magnoliareel::Run({argv, static_cast<size_t>(argc)});
}
