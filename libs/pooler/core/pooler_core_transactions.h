#ifndef MAGNOLIAREEL_POOLER_CORE_POOLER_CORE_TRANSACTIONS_H_
#define MAGNOLIAREEL_POOLER_CORE_POOLER_CORE_TRANSACTIONS_H_

// Statements of open transactions. Included by pooler_core.h.

#include <string_view>
#include <utility>

#include "pooler/core/pooler_core.h"

namespace magnoliareel {

template <Executor E, EndpointLink L, GrantStore S, PoolerPolicy P>
TransactionId PoolerCore<E, L, S, P>::RegisterTransaction(
    const PendingRequestRef& job,
    Term term,
    const ConnectionId& connection) {
  OpenTransaction open;
  open.caller = job->request.caller;
  open.group = job->request.group;
  open.endpoint = job->request.endpoint;
  open.connection = connection;
  open.term = term;
  open.last_used = executor_.Now();
  open.idle_limit = job->transaction_idle_limit;
  return transactions_.Add(std::move(open));
}

template <Executor E, EndpointLink L, GrantStore S, PoolerPolicy P>
void PoolerCore<E, L, S, P>::Continue(const PendingRequestRef& job) {
  const PoolerRequest& request = job->request;
  OpenTransaction* open =
      transactions_.Find(request.transaction, request.caller);
  if (open == nullptr) {
    ContinueUnknown(job);
    return;
  }
  if (open->is_busy) {
    Refuse(job, Error::kTransactionBusy);
    return;
  }
  open->is_busy = true;
  Run(job,
      MakeRunnerWork(job->request, job->deadline, open->term, open->connection),
      [this, job, term = open->term](const RunnerResult& end) {
        FinishTransactionStatement(job, term, end);
      });
}

// The transaction is not held here. A commit may have been sent by an earlier
// attempt, so its recorded outcome decides.
template <Executor E, EndpointLink L, GrantStore S, PoolerPolicy P>
void PoolerCore<E, L, S, P>::ContinueUnknown(const PendingRequestRef& job) {
  if (job->request.verb != PoolerVerb::kCommit) {
    Refuse(job, Error::kTransactionLost);
    return;
  }
  job->request.verb = PoolerVerb::kSettle;
  job->request.transaction = {};
  StartWrite(job);
}

template <Executor E, EndpointLink L, GrantStore S, PoolerPolicy P>
void PoolerCore<E, L, S, P>::FinishTransactionStatement(
    const PendingRequestRef& job,
    Term term,
    const RunnerResult& end) {
  const PoolerRequest& request = job->request;
  const bool is_end = request.verb == PoolerVerb::kCommit ||
                      request.verb == PoolerVerb::kRollback;
  const bool is_still_open =
      end.outcome == Outcome::kNotRun && !end.is_transaction_lost;
  if (end.is_transaction_lost || (is_end && !is_still_open)) {
    transactions_.Remove(request.transaction);
  } else if (OpenTransaction* open =
                 transactions_.Find(request.transaction, request.caller)) {
    open->is_busy = false;
    open->last_used = executor_.Now();
  }
  PoolerAnswer answer = MakePoolerAnswer(end);
  if (end.is_transaction_lost && request.verb != PoolerVerb::kCommit) {
    // Nothing of it can be committed any more, whether or not it ran.
    answer.outcome = Outcome::kFailed;
    answer.ec = Error::kTransactionLost;
  } else if (end.is_transaction_lost && end.outcome == Outcome::kNotRun) {
    answer.ec = Error::kTransactionLost;
  }
  if (request.verb == PoolerVerb::kCommit && end.outcome == Outcome::kDone) {
    AwaitAcknowledgement(job, term, end.answer.point, std::move(answer));
    return;
  }
  Answer(job, std::move(answer));
}

template <Executor E, EndpointLink L, GrantStore S, PoolerPolicy P>
void PoolerCore<E, L, S, P>::Abort(const OpenTransaction& open,
                                   std::string_view reason) {
  options_.events.on_rollback(open.transaction, reason);
  if (Runner* runner = table_.FindRunner(open.endpoint)) {
    runner->CloseConnection(open.connection);
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_CORE_POOLER_CORE_TRANSACTIONS_H_
