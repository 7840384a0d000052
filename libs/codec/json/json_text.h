#ifndef MAGNOLIAREEL_CODEC_JSON_JSON_TEXT_H_
#define MAGNOLIAREEL_CODEC_JSON_JSON_TEXT_H_

#include <json/value.h>

#include <string>
#include <string_view>

#include "core/core.h"

namespace magnoliareel {

/** Parses one JSON object, strictly.

    @param text      the whole message
    @param findings  receives kMalformedMessage with what is wrong
    @returns         the object, or a null value if there are findings
*/
Json::Value ParseJsonObject(std::string_view text, Findings& findings);

/** @param value  any value  @returns it on one line without blanks */
std::string FormatJson(const Json::Value& value);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_JSON_JSON_TEXT_H_
