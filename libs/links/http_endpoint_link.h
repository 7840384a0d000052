#ifndef MAGNOLIAREEL_LINKS_HTTP_ENDPOINT_LINK_H_
#define MAGNOLIAREEL_LINKS_HTTP_ENDPOINT_LINK_H_

#include <string>
#include <utility>

#include "codec/codec.h"
#include "core/core.h"
#include "failover/failover.h"
#include "http/http.h"
#include "links/endpoint_address_map.h"

namespace magnoliareel {

/** Converts the reply of an HTTP call to an endpoint.

    @param reply  reply of the HTTP call
    @returns      the decoded answer, or the error of the HTTP call;
                  kAnswerLost if the status is not 200 or the body is malformed
*/
EndpointReply ParseEndpointReply(const HttpResult& reply);

/** Calls endpoints over HTTP; replies arrive on the control thread.

    @tparam E  executor of the control thread
    @see EndpointLink
*/
template <Executor E>
class HttpEndpointLink {
 public:
  /** Constructs a link.

      @param executor   executor of the control thread; must outlive the link
      @param client     HTTP client; must outlive the link
      @param addresses  addresses of the endpoints; must outlive the link
      @param name       name of this process, sent with every call
  */
  HttpEndpointLink(E& executor,
                   HttpClient& client,
                   const EndpointAddressMap& addresses,
                   std::string name)
      : executor_(executor),
        client_(client),
        addresses_(addresses),
        name_(std::move(name)) {}

  /** Calls an endpoint. @see EndpointLink */
  void Call(const EndpointId& endpoint,
            EndpointCall call,
            Duration timeout,
            EndpointCompletion done) {
    const SocketAddress* address = addresses_.Find(endpoint);
    if (address == nullptr) {
      executor_.Post([done = std::move(done)] {
        done({Error::kUnreachable, {}});
      });
      return;
    }
    call.client = name_;
    HttpCall http_call;
    http_call.address = *address;
    http_call.path = "/call";
    http_call.body = FormatEndpointCall(call);
    http_call.timeout = timeout;
    client_.Send(std::move(http_call),
                 [this, done = std::move(done)](const HttpResult& reply) {
                   executor_.Post([done, result = ParseEndpointReply(reply)] {
                     done(result);
                   });
                 });
  }

 private:
  E& executor_;
  HttpClient& client_;
  const EndpointAddressMap& addresses_;
  const std::string name_;
};

static_assert(EndpointLink<HttpEndpointLink<ControlLoop>>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_LINKS_HTTP_ENDPOINT_LINK_H_
