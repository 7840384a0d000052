#ifndef MAGNOLIAREEL_ENTRY_FLOWS_POOLER_REQUESTS_H_
#define MAGNOLIAREEL_ENTRY_FLOWS_POOLER_REQUESTS_H_

#include "core/core.h"
#include "messages/messages.h"
#include "session/session.h"

namespace magnoliareel {

/** @param verb  what a caller asks; not kOpenSession
    @returns      what the pooler is asked */
PoolerVerb ToPoolerVerb(CallerVerb verb);

/** Makes the request for a pooler.

    @param request   what the caller asks
    @param token     its session
    @param group     the group concerned
    @param endpoint  the endpoint that shall run it
    @param verb      what the pooler is asked
    @param left      time left to answer
    @returns         the request
*/
PoolerRequest MakePoolerRequest(const CallerRequest& request,
                                const SessionToken& token,
                                const GroupId& group,
                                const EndpointId& endpoint,
                                PoolerVerb verb,
                                Duration left);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_FLOWS_POOLER_REQUESTS_H_
