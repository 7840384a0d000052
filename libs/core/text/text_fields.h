#ifndef MAGNOLIAREEL_CORE_TEXT_TEXT_FIELDS_H_
#define MAGNOLIAREEL_CORE_TEXT_TEXT_FIELDS_H_

#include <cstdint>
#include <string_view>

namespace magnoliareel {

/** Cuts the first field off a line whose fields are separated by single blanks.

    @param rest  the line; afterwards what follows the field, blanks included
    @returns     the field; empty if nothing was left
*/
std::string_view TakeField(std::string_view& rest);

/** @param text  decimal digits and nothing else
    @param out   receives the number
    @returns     false if the text is no such number
*/
bool ParseDecimal(std::string_view text, uint64_t& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_TEXT_TEXT_FIELDS_H_
