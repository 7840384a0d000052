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
  bool is_out = false;
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
  void Accept(const HttpRequest& request, const HttpResponder& responder);
  void AcceptFault(const std::string& body, const HttpResponder& responder);
  void AcceptVms(const HttpRequest& request, const HttpResponder& responder);
  HttpResponse ServeStore(const HttpRequest& request);
  HttpResponse ServeTableWrite(const std::string& body);
  HttpResponse ServeCounts() const;
  bool IsWithinRate(bool is_write);
  void Answer(HttpResponse response, const HttpResponder& responder);

  const PlatformSettings settings_;
  PlatformModel model_;
  PlatformFaults faults_;
  std::vector<HttpResponder> unanswered_responders_;
  TimePoint second_began_;
  int64_t writes_this_second_ = 0;
  int64_t reads_this_second_ = 0;
  uint64_t writes_ = 0;
  uint64_t reads_ = 0;
  ControlLoop loop_;
  HttpServer server_;
};

}  // namespace magnoliareel::standin

#endif  // MAGNOLIAREEL_STANDINS_PLATFORM_PLATFORM_SERVER_H_
