#ifndef MAGNOLIAREEL_CODEC_ENDPOINT_REPORT_CODEC_H_
#define MAGNOLIAREEL_CODEC_ENDPOINT_REPORT_CODEC_H_

#include <json/value.h>

#include "codec/json/object_reader.h"
#include "messages/messages.h"

namespace magnoliareel {

/** @param report  report of an endpoint  @returns the report as JSON */
Json::Value EncodeEndpointReport(const EndpointReport& report);

/** Reads a report and rejects unknown fields.

    @param reader  reader of the report
    @param report  receives the report
*/
void ReadEndpointReport(ObjectReader& reader, EndpointReport& report);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_ENDPOINT_REPORT_CODEC_H_
