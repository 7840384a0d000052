#ifndef MAGNOLIAREEL_STANDINS_PLATFORM_PLATFORM_SERVER_H_
#define MAGNOLIAREEL_STANDINS_PLATFORM_PLATFORM_SERVER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"
#include "http/http.h"
#include "standins/platform/platform_model.h"

namespace magnoliareel::standin {

/** Faults of the stand-in platform; they can be changed at run time. */
struct PlatformFaults {
  /** Leaves every request for the table and the objects unanswered. */
  bool is_unavailable = false;
  /** Number of further writes whose answers are dropped after they took
      effect. */
  int64_t answers_to_lose = 0;
  /** Delay added to each answer of the table and the objects. */
  Duration latency{0};
};

/** Settings of the stand-in platform. */
struct PlatformSettings {
  /** Address to listen on. */
  SocketAddress listen;
  /** Largest number of writes accepted in a second. */
  int64_t writes_per_second = 500;
  /** Largest number of reads accepted in a second. */
  int64_t reads_per_second = 2000;
};

/** Serves a PlatformModel over HTTP and adds rate limits, delays and faults.
    Requests are handled on one loop; the HTTP server's threads only read and
    write sockets. Test-only. */
class PlatformServer {
 public:
  /** @param settings  address and rate limits */
  explicit PlatformServer(PlatformSettings settings);

  /** Starts to listen. @returns kListenFailed if it cannot */
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
