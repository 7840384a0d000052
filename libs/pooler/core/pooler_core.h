#ifndef MAGNOLIAREEL_POOLER_CORE_POOLER_CORE_H_
#define MAGNOLIAREEL_POOLER_CORE_POOLER_CORE_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/core.h"
#include "membership/membership.h"
#include "outcome/outcome.h"
#include "pooler/core/endpoint_calls.h"
#include "pooler/core/group_table.h"
#include "pooler/core/pending_request.h"
#include "pooler/core/readiness.h"
#include "pooler/endpoints/endpoint_runner.h"
#include "pooler/groups/group_controller.h"
#include "pooler/policies/pooler_policy.h"
#include "pooler/transactions/transaction_table.h"

namespace magnoliareel {

/** Control state of a pooler: accepts requests for endpoints and answers each
    with its outcome.

    Runs on the control thread.

    @tparam E  executor of the control thread
    @tparam L  link that calls the endpoints
    @tparam S  store of the platform's table
    @tparam P  policy: the product's behaviour or a baseline
*/
template <Executor E,
          EndpointLink L,
          GrantStore S,
          PoolerPolicy P = StandardPolicy>
class PoolerCore {
 public:
  /** Longest wait of a read for its replica to catch up. */
  static constexpr Duration kFreshnessTimeout = std::chrono::milliseconds(60);

  /** @param executor  executor of the control thread
      @param link      link that calls the endpoints
      @param store     store of the platform's table
      @param options   options of the pooler
  */
  PoolerCore(E& executor, L& link, S& store, PoolerOptions options)
      : executor_(executor),
        options_(std::move(options)),
        table_(executor, link, store, options_),
        transactions_(options_.vm.value + "-" + options_.incarnation) {
    Tick();
  }

  /** Applies a changed document or list of VMs.

      @param deployment  the deployment now in force
  */
  void Apply(std::shared_ptr<const Deployment> deployment) {
    deployment_ = std::move(deployment);
    table_.Apply(*deployment_);
  }

  /** Submits a request.

      @param request  request for an endpoint
      @param done     called once with the answer
  */
  void Submit(PoolerRequest request, PoolerCompletion done) {
    ++in_progress_count_;
    auto pending = std::make_shared<PendingRequest<Controller, Runner>>();
    pending->arrived = executor_.Now();
    pending->deadline = pending->arrived + request.deadline;
    pending->request = std::move(request);
    pending->done = std::move(done);
    StartRequest(pending);
  }

  /** Refuses new work from now on; open transactions may continue. */
  void BeginDrain() { is_draining_ = true; }

  /** Rolls back the open transactions: at once, or at the next request of those
      that have a statement in progress.

      @param reason  reason to report
  */
  void EndTransactions(std::string_view reason) {
    transaction_end_reason_ = reason;
    for (const OpenTransaction& it : transactions_.TakeAllIdle()) {
      RollBack(it, reason);
    }
  }

  /** Orders a promotion.

      @param group  group that needs a new primary
      @returns      false if this VM does not drive the group
  */
  bool OrderPromotion(const GroupId& group) {
    Controller* controller = table_.FindController(group);
    return controller != nullptr && controller->OrderPromotion();
  }

  /** @returns the number of unanswered requests */
  size_t CountInProgress() const { return in_progress_count_; }
  /** @returns the number of open transactions */
  size_t CountTransactions() const { return transactions_.GetSize(); }
  /** @returns the groups and endpoints in use */
  const GroupTable<E, L, S, P>& GetTable() const { return table_; }

 private:
  using Controller = typename GroupTable<E, L, S, P>::Controller;
  using Runner = typename GroupTable<E, L, S, P>::Runner;
  using PendingRequestRef = std::shared_ptr<PendingRequest<Controller, Runner>>;

  void Tick() {
    table_.Tick();
    for (const OpenTransaction& it : transactions_.TakeIdle(executor_.Now())) {
      RollBack(it, "idle_limit");
    }
    executor_.After(Controller::kTickInterval, [this] { Tick(); });
  }

  void StartRequest(const PendingRequestRef& pending) {
    if (!deployment_ || deployment_->version == 0) {
      Refuse(pending, Error::kNoDocument);
      return;
    }
    const PoolerRequest& request = pending->request;
    const GroupConfig* group = deployment_->document.FindGroup(request.group);
    const EndpointConfig* endpoint =
        group == nullptr ? nullptr : FindEndpoint(*group, request);
    if (endpoint == nullptr) {
      Refuse(pending, Error::kUnknownEndpoint);
      return;
    }
    pending->transaction_idle_limit =
        deployment_->document.FindServiceOfGroup(request.group)
            ->transaction_idle_limit;
    pending->controller = &table_.GetController(*group);
    if (GetGroupState(pending).Find(request.endpoint) == nullptr) {
      // A group in use keeps its endpoints until this process ends.
      Refuse(pending, Error::kUnknownEndpoint);
      return;
    }
    pending->runner = &table_.GetRunner(*endpoint);
    if (!request.transaction.IsEmpty()) {
      ContinueTransaction(pending);
    } else if (is_draining_) {
      Refuse(pending, Error::kShuttingDown);
    } else if (request.verb == PoolerVerb::kRead) {
      StartRead(pending);
    } else if (request.verb == PoolerVerb::kCommit ||
               request.verb == PoolerVerb::kRollback) {
      Refuse(pending, Error::kNoTransaction);
    } else {
      StartWrite(pending);
    }
  }

  static const EndpointConfig* FindEndpoint(const GroupConfig& group,
                                            const PoolerRequest& request) {
    const auto it = std::find_if(group.endpoints.begin(), group.endpoints.end(),
                                 [&](const EndpointConfig& e) {
                                   return e.endpoint == request.endpoint;
                                 });
    return it == group.endpoints.end() ? nullptr : &*it;
  }

  // Reads.

  void StartRead(const PendingRequestRef& pending) {
    const MemberState* member =
        GetGroupState(pending).Find(pending->request.endpoint);
    if (member->report && !member->is_reachable) {
      Refuse(pending, Error::kUnreachable);
      return;
    }
    if (P::kAvoidsLeaving && member->report && member->report->is_leaving) {
      Refuse(pending, Error::kEndpointLeaving);
      return;
    }
    if (IsFresh(pending)) {
      RunRead(pending);
      return;
    }
    pending->controller->AwaitCondition(
        [this, pending] { return IsFresh(pending); },
        std::min(pending->deadline, pending->arrived + kFreshnessTimeout),
        [this, pending](bool is_met) {
          if (is_met) {
            RunRead(pending);
          } else {
            Refuse(pending, Error::kReplicaBehind);
          }
        });
  }

  bool IsFresh(const PendingRequestRef& pending) const {
    return IsFreshEnough(GetGroupState(pending), pending->request,
                         executor_.Now());
  }

  void RunRead(const PendingRequestRef& pending) {
    const MemberState* member =
        GetGroupState(pending).Find(pending->request.endpoint);
    Run(pending,
        MakeRunnerWork(pending->request, pending->deadline,
                       member->report->term, {}),
        [this, pending](const RunnerResult& result) {
          PoolerAnswer answer = MakePoolerAnswer(result);
          if (result.outcome != Outcome::kDone) {
            Answer(pending, std::move(answer));
            return;
          }
          // A read must not return writes that a later primary may discard.
          const EndpointReport& report = result.answer.report;
          AwaitAcknowledgement(pending, report.term, report.last,
                               std::move(answer));
        });
  }

  // Writes, transaction begins and lookups of recorded outcomes.

  void StartWrite(const PendingRequestRef& pending) {
    if (!IsPrimaryReady(GetGroupState(pending), P::kAvoidsLeaving)) {
      pending->controller->AwaitCondition(
          [this, pending] {
            return IsPrimaryReady(GetGroupState(pending), P::kAvoidsLeaving);
          },
          pending->deadline,
          [this, pending](bool is_met) {
            if (is_met) {
              StartWrite(pending);
            } else {
              Refuse(pending, Error::kNoPrimary);
            }
          });
      return;
    }
    const PrimaryView primary = *GetGroupState(pending).GetPrimary();
    if (primary.endpoint != pending->request.endpoint) {
      Refuse(pending, Error::kNotPrimary);
      return;
    }
    if (pending->controller->GetAckDelay() >
        pending->deadline - executor_.Now()) {
      Refuse(pending, Error::kReplicationBehind);
      return;
    }
    Run(pending,
        MakeRunnerWork(pending->request, pending->deadline, primary.term, {}),
        [this, pending, term = primary.term](const RunnerResult& result) {
          FinishWrite(pending, term, result);
        });
  }

  void FinishWrite(const PendingRequestRef& pending,
                   Term term,
                   const RunnerResult& result) {
    PoolerAnswer answer = MakePoolerAnswer(result);
    if (result.outcome == Outcome::kDone &&
        pending->request.verb == PoolerVerb::kBegin) {
      answer.transaction =
          RegisterTransaction(pending, term, result.connection);
      Answer(pending, std::move(answer));
      return;
    }
    const bool is_recorded_as_void =
        pending->request.verb == PoolerVerb::kSettle &&
        result.ec == Error::kRequestVoid;
    if (result.outcome != Outcome::kDone && !is_recorded_as_void) {
      Answer(pending, std::move(answer));
      return;
    }
    AwaitAcknowledgement(pending, term, result.answer.point, std::move(answer));
  }

  void AwaitAcknowledgement(const PendingRequestRef& pending,
                            Term term,
                            LogPoint point,
                            PoolerAnswer answer) {
    pending->controller->AwaitAcknowledgement(
        point, term, pending->deadline,
        [this, pending, point,
         answer = std::move(answer)](bool is_acknowledged) mutable {
          if (is_acknowledged && pending->request.verb != PoolerVerb::kRead) {
            answer.point = point;
            answer.holders = GetGroupState(pending).ListHolders(point);
          } else if (!is_acknowledged) {
            answer.outcome = Outcome::kUnknown;
            answer.ec = Error::kDeadlineExceeded;
            answer.answer.clear();
            ReportMissedAck(pending, point);
          }
          Answer(pending, std::move(answer));
        });
  }

  void ReportMissedAck(const PendingRequestRef& pending, LogPoint point) const {
    if (pending->request.verb != PoolerVerb::kRead) {
      options_.events.on_ack_missed(pending->request.group, point);
    }
  }

  // Statements of open transactions; defined in pooler_core_transactions.h.
  TransactionId RegisterTransaction(const PendingRequestRef& pending,
                                    Term term,
                                    const ConnectionId& connection);
  void ContinueTransaction(const PendingRequestRef& pending);
  void ContinueUnknownTransaction(const PendingRequestRef& pending);
  void FinishTransactionStatement(const PendingRequestRef& pending,
                                  Term term,
                                  const RunnerResult& result);
  void RollBack(const OpenTransaction& open, std::string_view reason);

  // Shared helpers.

  void Run(const PendingRequestRef& pending,
           RunnerWork work,
           typename Runner::Completion done) {
    pending->runner->Run(
        std::move(work),
        [this, pending, done = std::move(done)](RunnerResult result) {
          pending->waited = result.waited;
          pending->ran = result.ran;
          if (result.answer.report.term != Term{}) {
            pending->controller->RecordReport(pending->request.endpoint,
                                              result.answer.report,
                                              executor_.Now() - result.ran);
          }
          done(std::move(result));
        });
  }

  const GroupState& GetGroupState(const PendingRequestRef& pending) const {
    return pending->controller->GetState();
  }

  void Refuse(const PendingRequestRef& pending, Error error) {
    PoolerAnswer answer;
    answer.ec = error;
    Answer(pending, std::move(answer));
  }

  void Answer(const PendingRequestRef& pending, PoolerAnswer answer) {
    answer.request = pending->request.request;
    if (pending->controller != nullptr) {
      if (const auto primary = GetGroupState(pending).GetPrimary()) {
        answer.primary = primary->endpoint;
        answer.primary_term = primary->term;
      }
    }
    --in_progress_count_;
    pending->done(std::move(answer),
                  PoolerTimings{pending->waited, pending->ran});
  }

  E& executor_;
  const PoolerOptions options_;
  std::shared_ptr<const Deployment> deployment_;
  GroupTable<E, L, S, P> table_;
  TransactionTable transactions_;
  size_t in_progress_count_ = 0;
  bool is_draining_ = false;
  /** Why open transactions end; none while they may continue. */
  std::optional<std::string> transaction_end_reason_;
};

}  // namespace magnoliareel

#include "pooler/core/pooler_core_transactions.h"  // IWYU pragma: export

#endif  // MAGNOLIAREEL_POOLER_CORE_POOLER_CORE_H_
