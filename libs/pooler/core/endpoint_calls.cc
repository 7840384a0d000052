#include "pooler/core/endpoint_calls.h"

namespace magnoliareel {
namespace {

EndpointVerb ToEndpointVerb(PoolerVerb verb) {
  switch (verb) {
    case PoolerVerb::kRead:
      return EndpointVerb::kRead;
    case PoolerVerb::kWrite:
      return EndpointVerb::kWrite;
    case PoolerVerb::kBegin:
      return EndpointVerb::kBegin;
    case PoolerVerb::kCommit:
      return EndpointVerb::kCommit;
    case PoolerVerb::kRollback:
      return EndpointVerb::kRollback;
    case PoolerVerb::kSettle:
      return EndpointVerb::kSettle;
  }
  return EndpointVerb::kRead;
}

}  // namespace

std::string MakeRecordName(const CallerId& caller, const RequestId& request) {
  return caller.value + "/" + request.value;
}

RunnerWork MakeRunnerWork(const PoolerRequest& request,
                          TimePoint deadline,
                          Term term,
                          const ConnectionId& connection) {
  RunnerWork work;
  work.call.verb = ToEndpointVerb(request.verb);
  work.call.term = term;
  work.call.request = MakeRecordName(request.caller, request.request);
  work.call.statement = request.statement;
  // Within a transaction the commit is recorded, not its statements.
  work.call.is_recorded =
      request.verb == PoolerVerb::kCommit ||
      (request.verb == PoolerVerb::kWrite && connection.IsEmpty());
  work.caller = request.caller;
  work.work_class = request.work_class;
  work.deadline = deadline;
  work.connection = connection;
  work.is_begin = request.verb == PoolerVerb::kBegin;
  work.is_end = request.verb == PoolerVerb::kCommit ||
                request.verb == PoolerVerb::kRollback;
  return work;
}

PoolerAnswer MakePoolerAnswer(const RunnerResult& result) {
  PoolerAnswer answer;
  answer.outcome = result.outcome;
  answer.ec = result.ec;
  answer.answer = result.answer.answer;
  return answer;
}

}  // namespace magnoliareel
