#ifndef MAGNOLIAREEL_GOSSIP_BOUNDS_BOUND_CODEC_H_
#define MAGNOLIAREEL_GOSSIP_BOUNDS_BOUND_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/core.h"
#include "relay/relay.h"

namespace magnoliareel {

/** Datagram that asks another VM for a freshness bound. */
struct FreshnessBoundRequest {
  /** Number that the sender assigns, to match the response. */
  uint64_t id = 0;
  /** Address for the response. */
  SocketAddress address;
  FreshnessBoundQuery query;
};

/** Datagram that answers a FreshnessBoundRequest. */
struct FreshnessBoundResponse {
  /** @see FreshnessBoundRequest::id */
  uint64_t id = 0;
  FreshnessBound bound;
};

/** @param request  the request
    @returns         its encoding, one datagram
    @see DecodeFreshnessBoundRequest
*/
std::string EncodeFreshnessBoundRequest(const FreshnessBoundRequest& request);
/** @param bytes  a datagram
    @param out    receives the request
    @returns      false if the bytes are not a valid request
    @see EncodeFreshnessBoundRequest
*/
bool DecodeFreshnessBoundRequest(std::string_view bytes,
                                 FreshnessBoundRequest& out);

/** @param response  the response
    @returns          its encoding, one datagram
    @see DecodeFreshnessBoundResponse
*/
std::string EncodeFreshnessBoundResponse(
    const FreshnessBoundResponse& response);
/** @param bytes  a datagram
    @param out    receives the response
    @returns      false if the bytes are not a valid response
    @see EncodeFreshnessBoundResponse
*/
bool DecodeFreshnessBoundResponse(std::string_view bytes,
                                  FreshnessBoundResponse& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_GOSSIP_BOUNDS_BOUND_CODEC_H_
