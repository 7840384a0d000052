#ifndef MAGNOLIAREEL_POOLER_CORE_ENDPOINT_CALLS_H_
#define MAGNOLIAREEL_POOLER_CORE_ENDPOINT_CALLS_H_

#include "core/core.h"
#include "messages/messages.h"
#include "pooler/endpoints/endpoint_runner.h"

namespace magnoliareel {

/** @param caller   who asks
    @param request  its name for the request
    @returns        the name under which an endpoint records the request */
std::string MakeRecordName(const CallerId& caller, const RequestId& request);

/** Turns a request into work for an endpoint's runner.

    @param request     what is asked
    @param deadline    when it is no longer wanted
    @param term        term in which the endpoint shall run it
    @param connection  connection of its transaction; empty if none
    @returns           the work
*/
RunnerWork MakeRunnerWork(const PoolerRequest& request,
                          TimePoint deadline,
                          Term term,
                          const ConnectionId& connection);

/** @param end  how a statement ended
    @returns    the answer, without its point and the group's primary */
PoolerAnswer MakePoolerAnswer(const RunnerResult& end);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_CORE_ENDPOINT_CALLS_H_
