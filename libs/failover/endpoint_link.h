#ifndef MAGNOLIAREEL_FAILOVER_ENDPOINT_LINK_H_
#define MAGNOLIAREEL_FAILOVER_ENDPOINT_LINK_H_

#include <concepts>
#include <functional>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** How a call to an endpoint ended. */
struct EndpointReply {
  /** Error of the transport: kUnreachable if nothing was sent, kAnswerLost if
      it may have been carried out; empty if an answer arrived. */
  std::error_code ec;
  /** The answer, if one arrived. */
  EndpointAnswer answer;
};

/** Receives the end of a call, on the control thread. */
using EndpointCompletion = std::function<void(EndpointReply)>;

/** Calls endpoint databases.

    `Call` never calls back before it returns, and calls back exactly once.
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
