#ifndef MAGNOLIAREEL_CODEC_CALLER_CALLER_CODEC_H_
#define MAGNOLIAREEL_CODEC_CALLER_CALLER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** @param path  path of a caller's request
    @returns      what it asks; kRead stands for either kind of statement;
                  nothing for an unknown path
*/
std::optional<CallerVerb> FindVerbForPath(std::string_view path);

/** Parses the body of a caller's request. Credentials are not part of it.

    @param verb      from FindVerbForPath()
    @param body      JSON
    @param findings  receives every fault
    @returns         the request as far as it could be read
*/
CallerRequest ParseCallerRequest(CallerVerb verb,
                                 std::string_view body,
                                 Findings& findings);

/** @param verb  any verb  @returns the path at which it is asked */
std::string_view GetPathForVerb(CallerVerb verb);

/** @param request  any request  @returns its body as JSON, without credentials
 */
std::string FormatCallerRequest(const CallerRequest& request);

/** Parses an answer, as callers written with this library do.

    @param body      JSON
    @param findings  receives every fault of the text itself
    @returns         the answer as far as it could be read
*/
CallerAnswer ParseCallerAnswer(std::string_view body, Findings& findings);

/** @param answer  any answer  @returns its JSON */
std::string FormatCallerAnswer(const CallerAnswer& answer);

/** @param answer  any answer  @returns the HTTP status that fits it */
int GetHttpStatus(const CallerAnswer& answer);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_CALLER_CALLER_CODEC_H_
