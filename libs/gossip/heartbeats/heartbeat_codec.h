#ifndef MAGNOLIAREEL_GOSSIP_HEARTBEATS_HEARTBEAT_CODEC_H_
#define MAGNOLIAREEL_GOSSIP_HEARTBEATS_HEARTBEAT_CODEC_H_

#include <string>
#include <string_view>

#include "control/control.h"

namespace magnoliareel {

/** @param heartbeat  the heartbeat
    @returns           its encoding, one datagram
    @see DecodeHeartbeat
*/
std::string EncodeHeartbeat(const Heartbeat& heartbeat);

/** @param bytes  a datagram
    @param out    receives the heartbeat
    @returns      false if the bytes are not a heartbeat of this version
    @see EncodeHeartbeat
*/
bool DecodeHeartbeat(std::string_view bytes, Heartbeat& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_GOSSIP_HEARTBEATS_HEARTBEAT_CODEC_H_
