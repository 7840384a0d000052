#ifndef MAGNOLIAREEL_GOSSIP_FIELDS_DATAGRAM_FIELDS_H_
#define MAGNOLIAREEL_GOSSIP_FIELDS_DATAGRAM_FIELDS_H_

#include <initializer_list>
#include <string>
#include <string_view>

#include "core/core.h"

namespace magnoliareel {

/** @param fields  the fields of a datagram, without spaces
    @returns       the fields, separated by single spaces
    @see TakeField
*/
std::string JoinFields(std::initializer_list<std::string_view> fields);

/** @param text  a number of microseconds
    @param out   receives the duration
    @returns     false if the text is not a number, or is out of range
*/
bool DecodeDuration(std::string_view text, Duration& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_GOSSIP_FIELDS_DATAGRAM_FIELDS_H_
