#ifndef MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_SERVER_H_
#define MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_SERVER_H_

#include <string>

#include "core/core.h"
#include "http/http.h"
#include "standins/endpoint/endpoint_model.h"
#include "standins/endpoint/endpoint_settings.h"

namespace magnoliareel::standin {

/** Serves an EndpointModel over HTTP: /fault changes the faults, /counts
    returns the number of statements that have arrived, and every other path
    takes an EndpointCall.

    Requests are handled on one loop; other threads only read and write sockets.
    Test-only.
*/
class EndpointServer {
 public:
  /** @param settings  address, slots, timing and limits */
  explicit EndpointServer(const EndpointSettings& settings);

  /** Starts to listen. @returns kListenFailed if it cannot */
  std::error_code Start();

 private:
  void HandleRequest(const HttpRequest& request,
                     const HttpResponder& responder);
  void HandleFaultRequest(const std::string& body,
                          const HttpResponder& responder);
  void SendReplicationCall(
      const std::string& address,
      const EndpointCall& call,
      const EndpointModel<ControlLoop>::FetchCompletion& done);

  HttpClient client_;
  ControlLoop loop_;
  EndpointModel<ControlLoop> model_;
  HttpServer server_;
};

}  // namespace magnoliareel::standin

#endif  // MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_SERVER_H_
