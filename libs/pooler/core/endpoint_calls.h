#ifndef MAGNOLIAREEL_POOLER_CORE_ENDPOINT_CALLS_H_
#define MAGNOLIAREEL_POOLER_CORE_ENDPOINT_CALLS_H_

#include "core/core.h"
#include "messages/messages.h"
#include "pooler/endpoints/endpoint_runner.h"

namespace magnoliareel {

/** @param caller   caller that sent the request
    @param request  the caller's id for the request
    @returns        name under which an endpoint records the request
*/
std::string MakeRecordName(const CallerId& caller, const RequestId& request);

/** Converts a request into work for the runner of an endpoint.

    @param request     request to convert
    @param deadline    time after which an answer is no longer wanted
    @param term        term in which the endpoint runs the request
    @param connection  connection of the request's transaction; empty if none
    @returns           the work
*/
RunnerWork MakeRunnerWork(const PoolerRequest& request,
                          TimePoint deadline,
                          Term term,
                          const ConnectionId& connection);

/** @param result  result of a statement
    @returns       answer to the request; its log point and the group's primary
                   are not set
*/
PoolerAnswer MakePoolerAnswer(const RunnerResult& result);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_CORE_ENDPOINT_CALLS_H_
