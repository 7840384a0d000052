#ifndef MAGNOLIAREEL_CODEC_JSON_PARSE_OBJECT_H_
#define MAGNOLIAREEL_CODEC_JSON_PARSE_OBJECT_H_

#include <json/value.h>

#include <string_view>

#include "codec/json/json_text.h"
#include "codec/json/object_reader.h"
#include "core/core.h"

namespace magnoliareel {

/** Decodes a JSON object; a field that is not read is a finding.

    @tparam T        type of the result
    @param value     object to decode
    @param findings  receives every fault
    @param read      called with an ObjectReader and the result
    @returns         the result, as far as it could be decoded
*/
template <class T, class Read>
T DecodeObject(const Json::Value& value, Findings& findings, Read read) {
  T result;
  ObjectReader reader(value, "", findings);
  read(reader, result);
  reader.RejectUnknownFields();
  return result;
}

/** Parses and decodes a JSON object.

    @tparam T        type of the result
    @param body      JSON
    @param findings  receives every fault
    @param read      called with an ObjectReader and the result
    @returns         the result, as far as it could be decoded
    @see DecodeObject
*/
template <class T, class Read>
T ParseObject(std::string_view body, Findings& findings, Read read) {
  const Json::Value value = ParseJsonObject(body, findings);
  return findings.IsEmpty() ? DecodeObject<T>(value, findings, read) : T{};
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_JSON_PARSE_OBJECT_H_
