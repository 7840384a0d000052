#ifndef MAGNOLIAREEL_GOSSIP_BOUNDS_BOUND_CODEC_H_
#define MAGNOLIAREEL_GOSSIP_BOUNDS_BOUND_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/core.h"
#include "relay/relay.h"

namespace magnoliareel {

/** A FreshnessBoundQuery under way. */
struct BoundRequest {
  /** The asking VM's number for it. */
  uint64_t id = 0;
  /** Where the answer goes. */
  SocketAddress address;
  FreshnessBoundQuery question;
};

/** A FreshnessBound under way. */
struct BoundResponse {
  /** @see BoundRequest::id */
  uint64_t id = 0;
  FreshnessBound bound;
};

/** @param request  what to send
    @returns        its encoding, one datagram
    @see DecodeBoundRequest
*/
std::string EncodeBoundRequest(const BoundRequest& request);
/** @param bytes  a datagram
    @param out    receives what it says
    @returns      false if it is no such request
*/
bool DecodeBoundRequest(std::string_view bytes, BoundRequest& out);

/** @param response  what to send
    @returns         its encoding, one datagram
    @see DecodeBoundResponse
*/
std::string EncodeBoundResponse(const BoundResponse& response);
/** @param bytes  a datagram
    @param out    receives what it says
    @returns      false if it is no such response
*/
bool DecodeBoundResponse(std::string_view bytes, BoundResponse& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_GOSSIP_BOUNDS_BOUND_CODEC_H_
