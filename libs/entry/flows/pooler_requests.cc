#include "entry/flows/pooler_requests.h"

#include <cassert>

namespace magnoliareel {

PoolerVerb ToPoolerVerb(CallerVerb verb) {
  switch (verb) {
    case CallerVerb::kWrite:
      return PoolerVerb::kWrite;
    case CallerVerb::kBegin:
      return PoolerVerb::kBegin;
    case CallerVerb::kCommit:
      return PoolerVerb::kCommit;
    case CallerVerb::kRollback:
      return PoolerVerb::kRollback;
    case CallerVerb::kSettle:
      return PoolerVerb::kSettle;
    case CallerVerb::kOpenSession:
      assert(false);
      break;
    case CallerVerb::kRead:
      break;
  }
  return PoolerVerb::kRead;
}

PoolerRequest MakePoolerRequest(const CallerRequest& request,
                                const SessionToken& token,
                                const GroupId& group,
                                const EndpointId& endpoint,
                                PoolerVerb verb,
                                Duration remaining) {
  PoolerRequest result;
  result.verb = verb;
  result.request = request.request;
  result.caller = request.caller;
  result.group = group;
  result.endpoint = endpoint;
  const bool is_in_transaction = token.transaction &&
                                 verb != PoolerVerb::kBegin &&
                                 verb != PoolerVerb::kSettle;
  if (is_in_transaction) {
    result.transaction = token.transaction->transaction;
  }
  if (verb == PoolerVerb::kRead || verb == PoolerVerb::kWrite) {
    result.statement = request.statement;
  }
  result.is_idempotent = request.is_idempotent;
  if (verb == PoolerVerb::kRead && !is_in_transaction) {
    result.required = token.GetWatermark(group).point;
    result.max_age = request.max_age;
  }
  result.deadline = remaining;
  result.work_class = request.work_class;
  return result;
}

}  // namespace magnoliareel
