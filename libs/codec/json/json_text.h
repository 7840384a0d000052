#ifndef MAGNOLIAREEL_CODEC_JSON_JSON_TEXT_H_
#define MAGNOLIAREEL_CODEC_JSON_JSON_TEXT_H_

#include <json/value.h>

#include <string>
#include <string_view>

#include "core/core.h"

namespace magnoliareel {

/** Parses a JSON object. Comments, duplicate keys and text after the object are
    rejected.

    @param text      whole message
    @param findings  receives kMalformedMessage with the parser's message, or
                     kWrongType if the value is not an object
    @returns         the object, or a null value if there are findings
*/
Json::Value ParseJsonObject(std::string_view text, Findings& findings);

/** Serializes a JSON value.

    @param value  value to serialize
    @returns      UTF-8 text on one line without spaces between tokens
*/
std::string FormatJson(const Json::Value& value);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_JSON_JSON_TEXT_H_
