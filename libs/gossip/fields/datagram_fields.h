#ifndef MAGNOLIAREEL_GOSSIP_FIELDS_DATAGRAM_FIELDS_H_
#define MAGNOLIAREEL_GOSSIP_FIELDS_DATAGRAM_FIELDS_H_

#include <string_view>

#include "core/core.h"

namespace magnoliareel {

/** @param text  a number of microseconds
    @param out   receives the duration
    @returns     false if the text is not a number, or is out of range
*/
bool DecodeDuration(std::string_view text, Duration& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_GOSSIP_FIELDS_DATAGRAM_FIELDS_H_
