#ifndef MAGNOLIAREEL_LINKS_HTTP_ENDPOINT_LINK_H_
#define MAGNOLIAREEL_LINKS_HTTP_ENDPOINT_LINK_H_

#include <string>
#include <utility>

#include "codec/codec.h"
#include "core/core.h"
#include "failover/failover.h"
#include "http/http.h"
#include "links/endpoint_directory.h"

namespace magnoliareel {

/** @param reply  end of an HTTP call to an endpoint
    @returns       the same as an endpoint's reply */
EndpointReply ParseEndpointReply(const HttpResult& reply);

/** Calls endpoints over HTTP; replies arrive on the control thread.

    @tparam E  the control thread
    @see EndpointLink
*/
template <Executor E>
class HttpEndpointLink {
 public:
  /** @param executor   the control thread
      @param client     makes the calls
      @param directory  addresses; outlives this
      @param name       names this process to endpoints
  */
  HttpEndpointLink(E& executor,
                   HttpClient& client,
                   const EndpointDirectory& directory,
                   std::string name)
      : executor_(executor),
        client_(client),
        directory_(directory),
        name_(std::move(name)) {}

  /** @see EndpointLink */
  void Call(const EndpointId& endpoint,
            EndpointCall call,
            Duration timeout,
            EndpointCompletion done) {
    const SocketAddress* address = directory_.Find(endpoint);
    if (address == nullptr) {
      executor_.Post([done = std::move(done)] {
        done({Error::kUnreachable, {}});
      });
      return;
    }
    call.client = name_;
    HttpCall http;
    http.address = *address;
    http.path = "/call";
    http.body = FormatEndpointCall(call);
    http.timeout = timeout;
    client_.Send(std::move(http),
                 [this, done = std::move(done)](const HttpResult& reply) {
                   executor_.Post([done, result = ParseEndpointReply(reply)] {
                     done(result);
                   });
                 });
  }

 private:
  E& executor_;
  HttpClient& client_;
  const EndpointDirectory& directory_;
  const std::string name_;
};

static_assert(EndpointLink<HttpEndpointLink<ControlLoop>>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_LINKS_HTTP_ENDPOINT_LINK_H_
