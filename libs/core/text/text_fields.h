#ifndef MAGNOLIAREEL_CORE_TEXT_TEXT_FIELDS_H_
#define MAGNOLIAREEL_CORE_TEXT_TEXT_FIELDS_H_

#include <cstdint>
#include <string_view>

namespace magnoliareel {

/** Removes the first field from a line whose fields are separated by single
    spaces.

    @param rest  the line; receives the text after the field and its separator,
                 in which further spaces are kept
    @returns     the field; empty if the line is empty or starts with a space
*/
std::string_view TakeField(std::string_view& rest);

/** Parses an unsigned decimal number.

    @param text  the text, which must contain digits only
    @param out   receives the number
    @returns     false if the text is not such a number or is out of range
*/
bool ParseDecimal(std::string_view text, uint64_t& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_TEXT_TEXT_FIELDS_H_
