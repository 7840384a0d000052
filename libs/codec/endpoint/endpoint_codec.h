#ifndef MAGNOLIAREEL_CODEC_ENDPOINT_ENDPOINT_CODEC_H_
#define MAGNOLIAREEL_CODEC_ENDPOINT_ENDPOINT_CODEC_H_

#include <string>
#include <string_view>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** @param call  call to an endpoint  @returns the call as JSON */
std::string FormatEndpointCall(const EndpointCall& call);

/** @param body      JSON
    @param findings  receives every fault
    @returns         the call, as far as it could be parsed
*/
EndpointCall ParseEndpointCall(std::string_view body, Findings& findings);

/** @param answer  answer of an endpoint  @returns the answer as JSON */
std::string FormatEndpointAnswer(const EndpointAnswer& answer);

/** @param body      JSON
    @param findings  receives every fault
    @returns         the answer, as far as it could be parsed
*/
EndpointAnswer ParseEndpointAnswer(std::string_view body, Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_ENDPOINT_ENDPOINT_CODEC_H_
