#ifndef MAGNOLIAREEL_GOSSIP_DRAINS_DRAIN_CODEC_H_
#define MAGNOLIAREEL_GOSSIP_DRAINS_DRAIN_CODEC_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "control/control.h"

namespace magnoliareel {

/** Maximum number of notices in one datagram; with ids of 20 bytes they fit an
    Ethernet frame. */
inline constexpr size_t kMaxDrainNotices = 24;

/** Notices are a datagram of their own, because a node that does not know them
    would reject a heartbeat that carried them.

    @param notices  at most kMaxDrainNotices; their ages are sent in
                    microseconds
    @returns        their encoding, one datagram
    @see DecodeDrainNotices
*/
std::string EncodeDrainNotices(std::span<const DrainNotice> notices);

/** @param bytes  a datagram
    @param out    receives the notices
    @returns      false if the bytes are not a list of notices
    @see EncodeDrainNotices
*/
bool DecodeDrainNotices(std::string_view bytes, std::vector<DrainNotice>& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_GOSSIP_DRAINS_DRAIN_CODEC_H_
