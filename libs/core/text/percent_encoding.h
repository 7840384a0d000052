#ifndef MAGNOLIAREEL_CORE_TEXT_PERCENT_ENCODING_H_
#define MAGNOLIAREEL_CORE_TEXT_PERCENT_ENCODING_H_

#include <string>
#include <string_view>

namespace magnoliareel {

/** Encodes a text for the target of an HTTP request (RFC 3986, section 2.1).

    @param text  any text
    @param kept  characters that are kept besides letters, digits and "-_.",
                 such as the separator of a path
    @returns     the text, with a percent sign and two hexadecimal digits for
                 each other byte
*/
std::string PercentEncode(std::string_view text, std::string_view kept = {});

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_TEXT_PERCENT_ENCODING_H_
