#ifndef MAGNOLIAREEL_GOSSIP_BOUNDS_BOUND_CODEC_H_
#define MAGNOLIAREEL_GOSSIP_BOUNDS_BOUND_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/core.h"
#include "relay/relay.h"

namespace magnoliareel {

/** A BoundQuestion under way. */
struct FreshnessBoundRequest {
  /** The asking VM's number for it. */
  uint64_t id = 0;
  /** Where the answer goes. */
  SocketAddress address;
  BoundQuestion question;
};

/** A PeerBound under way. */
struct FreshnessBoundResponse {
  /** @see FreshnessBoundRequest::id */
  uint64_t id = 0;
  PeerBound bound;
};

/** @param request  what to send
    @returns        its encoding, one datagram
    @see DecodeFreshnessBoundRequest
*/
std::string EncodeFreshnessBoundRequest(const FreshnessBoundRequest& request);
/** @param bytes  a datagram
    @param out    receives what it says
    @returns      false if it is no such request
*/
bool DecodeFreshnessBoundRequest(std::string_view bytes,
                                 FreshnessBoundRequest& out);

/** @param response  what to send
    @returns         its encoding, one datagram
    @see DecodeFreshnessBoundResponse
*/
std::string EncodeFreshnessBoundResponse(
    const FreshnessBoundResponse& response);
/** @param bytes  a datagram
    @param out    receives what it says
    @returns      false if it is no such response
*/
bool DecodeFreshnessBoundResponse(std::string_view bytes,
                                  FreshnessBoundResponse& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_GOSSIP_BOUNDS_BOUND_CODEC_H_
