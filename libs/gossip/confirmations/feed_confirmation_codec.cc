#include "gossip/confirmations/feed_confirmation_codec.h"

#include "gossip/fields/datagram_fields.h"

namespace magnoliareel {
namespace {

// First field of each datagram. It changes with the layout of the other fields.
constexpr Word kMagic = "mrf1";

}  // namespace

std::string EncodeFeedConfirmation(const FeedConfirmation& confirmation) {
  return JoinFields({kMagic, Word(confirmation.address.Format()),
                     Word(std::to_string(confirmation.config_version)),
                     Word(std::to_string(confirmation.endpoints_version)),
                     Word(std::to_string(confirmation.store_version)),
                     Word(std::to_string(confirmation.age.count()))});
}

bool DecodeFeedConfirmation(std::string_view bytes, FeedConfirmation& out) {
  return TakeField(bytes) == kMagic.GetText() &&
         ParseSocketAddress(std::string(TakeField(bytes)), out.address) &&
         ParseDecimal(TakeField(bytes), out.config_version) &&
         ParseDecimal(TakeField(bytes), out.endpoints_version) &&
         ParseDecimal(TakeField(bytes), out.store_version) &&
         DecodeDuration(TakeField(bytes), out.age);
}

}  // namespace magnoliareel
