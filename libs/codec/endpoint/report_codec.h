#ifndef MAGNOLIAREEL_CODEC_ENDPOINT_REPORT_CODEC_H_
#define MAGNOLIAREEL_CODEC_ENDPOINT_REPORT_CODEC_H_

#include <json/value.h>

#include "codec/json/object_reader.h"
#include "messages/messages.h"

namespace magnoliareel {

/** @param report  any report  @returns its JSON */
Json::Value EncodeEndpointReport(const EndpointReport& report);

/** @param reader  a report's JSON  @param report  receives it */
void ReadEndpointReport(ObjectReader& reader, EndpointReport& report);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_ENDPOINT_REPORT_CODEC_H_
