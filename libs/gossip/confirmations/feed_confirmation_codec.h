#ifndef MAGNOLIAREEL_GOSSIP_CONFIRMATIONS_FEED_CONFIRMATION_CODEC_H_
#define MAGNOLIAREEL_GOSSIP_CONFIRMATIONS_FEED_CONFIRMATION_CODEC_H_

#include <string>
#include <string_view>

#include "control/control.h"

namespace magnoliareel {

/** @param confirmation  the confirmation; its age is sent in microseconds
    @returns              its encoding, one datagram
    @see DecodeFeedConfirmation
*/
std::string EncodeFeedConfirmation(const FeedConfirmation& confirmation);

/** @param bytes  a datagram
    @param out    receives the confirmation
    @returns      false if the bytes are not a confirmation
    @see EncodeFeedConfirmation
*/
bool DecodeFeedConfirmation(std::string_view bytes, FeedConfirmation& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_GOSSIP_CONFIRMATIONS_FEED_CONFIRMATION_CODEC_H_
