#ifndef MAGNOLIAREEL_STANDINS_PLATFORM_PLATFORM_SERVER_H_
#define MAGNOLIAREEL_STANDINS_PLATFORM_PLATFORM_SERVER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"
#include "http/http.h"
#include "standins/platform/platform_model.h"

namespace magnoliareel::standin {

/** Faults of the stand-in platform, changed while it runs. */
struct PlatformFaults {
  /** Answers nobody, except for the list of VMs. */
  bool is_unavailable = false;
  /** Number of coming writes whose answers are lost after their effect. */
  int64_t answers_to_lose = 0;
  /** Time added to each answer. */
  Duration latency{0};
};

/** Settings of the stand-in platform. */
struct PlatformSettings {
  /** Where it listens. */
  SocketAddress listen;
  /** Writes accepted in a second. */
  int64_t writes_per_second = 500;
  /** Reads accepted in a second. */
  int64_t reads_per_second = 2000;
};

/** Serves a PlatformModel over HTTP: adds rates, delays and faults. */
class PlatformServer {
 public:
  /** @param settings  its settings */
  explicit PlatformServer(PlatformSettings settings);

  /** Begins to listen. @returns kListenFailed if it cannot */
  std::error_code Start();

 private:
  void HandleRequest(const HttpRequest& request,
                     const HttpResponder& responder);
  void HandleFaultRequest(const std::string& body,
                          const HttpResponder& responder);
  void HandleVmsRequest(const HttpRequest& request,
                        const HttpResponder& responder);
  HttpResponse ServeStore(const HttpRequest& request);
  HttpResponse ServeTableWrite(const std::string& body);
  HttpResponse ServeCounts() const;
  bool IsWithinRate(bool is_write);
  void SendResponse(HttpResponse response, const HttpResponder& responder);

  const PlatformSettings settings_;
  PlatformModel model_;
  PlatformFaults faults_;
  std::vector<HttpResponder> unanswered_responders_;
  TimePoint rate_window_start_;
  int64_t writes_in_window_ = 0;
  int64_t reads_in_window_ = 0;
  uint64_t write_count_ = 0;
  uint64_t read_count_ = 0;
  ControlLoop loop_;
  HttpServer server_;
};

}  // namespace magnoliareel::standin

#endif  // MAGNOLIAREEL_STANDINS_PLATFORM_PLATFORM_SERVER_H_
