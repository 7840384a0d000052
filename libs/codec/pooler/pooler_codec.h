#ifndef MAGNOLIAREEL_CODEC_POOLER_POOLER_CODEC_H_
#define MAGNOLIAREEL_CODEC_POOLER_POOLER_CODEC_H_

#include <string>
#include <string_view>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** @param request  request to a pooler  @returns the request as JSON */
std::string FormatPoolerRequest(const PoolerRequest& request);

/** @param body      JSON
    @param findings  receives every fault
    @returns         the request, as far as it could be parsed
*/
PoolerRequest ParsePoolerRequest(std::string_view body, Findings& findings);

/** @param answer  answer of a pooler  @returns the answer as JSON */
std::string FormatPoolerAnswer(const PoolerAnswer& answer);

/** @param body      JSON
    @param findings  receives every fault
    @returns         the answer, as far as it could be parsed
*/
PoolerAnswer ParsePoolerAnswer(std::string_view body, Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_POOLER_POOLER_CODEC_H_
