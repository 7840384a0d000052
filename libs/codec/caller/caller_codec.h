#ifndef MAGNOLIAREEL_CODEC_CALLER_CALLER_CODEC_H_
#define MAGNOLIAREEL_CODEC_CALLER_CALLER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** Maps the path of an HTTP request to the kind of the caller's request.

    @param path  path of the URL
    @returns     kind of request; kRead for a statement, whose body tells reads
                 from writes; std::nullopt for an unknown path
*/
std::optional<CallerVerb> FindVerbForPath(std::string_view path);

/** Parses the body of a caller's request. The credentials are not part of the
    body.

    @param verb      kind of request from FindVerbForPath()
    @param body      JSON
    @param findings  receives every fault
    @returns         the request, as far as it could be parsed
*/
CallerRequest ParseCallerRequest(CallerVerb verb,
                                 std::string_view body,
                                 Findings& findings);

/** @param verb  kind of request  @returns the path that accepts the request */
std::string_view GetPathForVerb(CallerVerb verb);

/** Serializes a caller's request.

    @param request  request to serialize
    @returns        body of the HTTP request as JSON, without credentials
*/
std::string FormatCallerRequest(const CallerRequest& request);

/** Parses an answer of an entry, for callers written with this library. Unknown
    fields are ignored, and CallerAnswer::findings is not filled in.

    @param body      JSON
    @param findings  receives every fault of `body`
    @returns         the answer, as far as it could be parsed
*/
CallerAnswer ParseCallerAnswer(std::string_view body, Findings& findings);

/** @param answer  answer to a caller  @returns the answer as JSON */
std::string FormatCallerAnswer(const CallerAnswer& answer);

/** @param answer  answer to a caller  @returns HTTP status code of the answer
 */
int GetHttpStatus(const CallerAnswer& answer);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_CALLER_CALLER_CODEC_H_
