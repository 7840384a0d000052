#ifndef MAGNOLIAREEL_POOLER_CORE_POOLER_CORE_TRANSACTIONS_H_
#define MAGNOLIAREEL_POOLER_CORE_POOLER_CORE_TRANSACTIONS_H_

// Statements of open transactions. Included by pooler_core.h.

#include <string_view>
#include <utility>

#include "pooler/core/pooler_core.h"

namespace magnoliareel {

template <Executor E, EndpointLink L, GrantStore S, PoolerPolicy P>
TransactionId PoolerCore<E, L, S, P>::RegisterTransaction(
    const PendingRequestRef& pending,
    Term term,
    const ConnectionId& connection) {
  OpenTransaction open;
  open.caller = pending->request.caller;
  open.group = pending->request.group;
  open.endpoint = pending->request.endpoint;
  open.connection = connection;
  open.term = term;
  open.last_used = executor_.Now();
  open.idle_limit = pending->transaction_idle_limit;
  return transactions_.Add(std::move(open));
}

template <Executor E, EndpointLink L, GrantStore S, PoolerPolicy P>
void PoolerCore<E, L, S, P>::ContinueTransaction(
    const PendingRequestRef& pending) {
  const PoolerRequest& request = pending->request;
  OpenTransaction* open =
      transactions_.Find(request.transaction, request.caller);
  if (open == nullptr) {
    ContinueUnknownTransaction(pending);
    return;
  }
  if (open->endpoint != request.endpoint || open->group != request.group) {
    Refuse(pending, Error::kNoTransaction);
    return;
  }
  if (open->is_busy) {
    Refuse(pending, Error::kTransactionBusy);
    return;
  }
  if (transaction_end_reason_) {
    RollBack(*open, *transaction_end_reason_);
    transactions_.Remove(request.transaction);
    Refuse(pending, Error::kTransactionLost);
    return;
  }
  open->is_busy = true;
  Run(pending,
      MakeRunnerWork(pending->request, pending->deadline, open->term,
                     open->connection),
      [this, pending, term = open->term](const RunnerResult& result) {
        FinishTransactionStatement(pending, term, result);
      });
}

// Handles a statement of a transaction that this pooler does not hold. An
// earlier attempt may have sent the commit, so a commit is answered with its
// recorded outcome.
template <Executor E, EndpointLink L, GrantStore S, PoolerPolicy P>
void PoolerCore<E, L, S, P>::ContinueUnknownTransaction(
    const PendingRequestRef& pending) {
  if (pending->request.verb != PoolerVerb::kCommit) {
    Refuse(pending, Error::kTransactionLost);
    return;
  }
  pending->request.verb = PoolerVerb::kSettle;
  pending->request.transaction = {};
  StartWrite(pending);
}

template <Executor E, EndpointLink L, GrantStore S, PoolerPolicy P>
void PoolerCore<E, L, S, P>::FinishTransactionStatement(
    const PendingRequestRef& pending,
    Term term,
    const RunnerResult& result) {
  const PoolerRequest& request = pending->request;
  const bool is_end = request.verb == PoolerVerb::kCommit ||
                      request.verb == PoolerVerb::kRollback;
  const bool is_still_open =
      result.outcome == Outcome::kNotRun && !result.is_transaction_lost;
  if (result.is_transaction_lost || (is_end && !is_still_open)) {
    transactions_.Remove(request.transaction);
  } else if (OpenTransaction* open =
                 transactions_.Find(request.transaction, request.caller)) {
    open->is_busy = false;
    open->last_used = executor_.Now();
  }
  PoolerAnswer answer = MakePoolerAnswer(result);
  if (result.is_transaction_lost && request.verb != PoolerVerb::kCommit) {
    // The transaction can no longer be committed, so the statement has no
    // effect whether or not it ran.
    answer.outcome = Outcome::kFailed;
    answer.ec = Error::kTransactionLost;
  } else if (result.is_transaction_lost && result.outcome == Outcome::kNotRun) {
    answer.ec = Error::kTransactionLost;
  }
  if (request.verb == PoolerVerb::kCommit && result.outcome == Outcome::kDone) {
    AwaitAcknowledgement(pending, term, result.answer.point, std::move(answer));
    return;
  }
  Answer(pending, std::move(answer));
}

template <Executor E, EndpointLink L, GrantStore S, PoolerPolicy P>
void PoolerCore<E, L, S, P>::RollBack(const OpenTransaction& open,
                                      std::string_view reason) {
  options_.events.on_rollback(open.transaction, reason);
  if (Runner* runner = table_.FindRunner(open.endpoint)) {
    runner->CloseConnection(open.connection);
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_CORE_POOLER_CORE_TRANSACTIONS_H_
