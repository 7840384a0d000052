#ifndef MAGNOLIAREEL_ENTRY_FLOWS_POOLER_REQUESTS_H_
#define MAGNOLIAREEL_ENTRY_FLOWS_POOLER_REQUESTS_H_

#include "core/core.h"
#include "messages/messages.h"
#include "session/session.h"

namespace magnoliareel {

/** @param verb  verb of a caller's request; not kOpenSession
    @returns      the corresponding verb of the request to the pooler */
PoolerVerb ToPoolerVerb(CallerVerb verb);

/** Builds the request that is sent to a pooler.

    @param request    the caller's request
    @param token      the session token
    @param group      group of the endpoint
    @param endpoint   endpoint to run the request on
    @param verb       verb of the request to the pooler
    @param remaining  time left until the caller's deadline
    @returns          the request to the pooler
*/
PoolerRequest MakePoolerRequest(const CallerRequest& request,
                                const SessionToken& token,
                                const GroupId& group,
                                const EndpointId& endpoint,
                                PoolerVerb verb,
                                Duration remaining);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_FLOWS_POOLER_REQUESTS_H_
