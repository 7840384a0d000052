#ifndef MAGNOLIAREEL_FAILOVER_ENDPOINT_LINK_H_
#define MAGNOLIAREEL_FAILOVER_ENDPOINT_LINK_H_

#include <concepts>
#include <functional>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** Result of a call to an endpoint. */
struct EndpointReply {
  /** Transport error: kUnreachable if nothing was sent, kAnswerLost if the
      endpoint may have carried out the call; empty if an answer arrived. */
  std::error_code ec;
  /** The answer, if one arrived. */
  EndpointAnswer answer;
};

/** Receives the result of a call, on the control thread. */
using EndpointCompletion = std::function<void(EndpointReply)>;

/** Concept of a link that calls endpoint databases.

    `Call` invokes `done` exactly once, and never before it returns.
*/
template <class T>
concept EndpointLink = requires(T& link,
                                const EndpointId& endpoint,
                                EndpointCall call,
                                Duration timeout,
                                EndpointCompletion done) {
  link.Call(endpoint, std::move(call), timeout, std::move(done));
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_FAILOVER_ENDPOINT_LINK_H_
