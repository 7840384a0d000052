#ifndef MAGNOLIAREEL_CORE_TEXT_TEXT_FIELDS_H_
#define MAGNOLIAREEL_CORE_TEXT_TEXT_FIELDS_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "core/text/word.h"

namespace magnoliareel {

/** Removes the first field from a line whose fields are separated by single
    spaces.

    @param rest  the line; receives the text after the field and its separator,
                 in which further spaces are kept
    @returns     the field; empty if the line is empty or starts with a space
*/
std::string_view TakeField(std::string_view& rest);

/** Removes the first field, which must be a word, from a line.

    @param rest  the line; receives the text after the field and its separator
    @param out   receives the field
    @returns     false if the field is empty or has control characters
    @see TakeField, IsWord
*/
bool TakeWord(std::string_view& rest, std::string& out);

/** @param out     receives the fields, separated by single spaces
    @param fields  the fields
    @see TakeField
*/
void AppendFields(std::string& out, std::initializer_list<Word> fields);

/** @param fields  the fields
    @returns       the fields, separated by single spaces
    @see TakeField
*/
std::string JoinFields(std::initializer_list<Word> fields);

/** Parses an unsigned decimal number.

    @param text  the text, which must contain digits only
    @param out   receives the number
    @returns     false if the text is not such a number or is out of range
*/
bool ParseDecimal(std::string_view text, uint64_t& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_TEXT_TEXT_FIELDS_H_
