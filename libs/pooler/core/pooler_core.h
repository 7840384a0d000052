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

/** The control state of a pooler: takes requests for endpoints and answers
    each with its outcome.

    Runs on the control thread.

    @tparam E  the control thread
    @tparam L  calls the endpoints
    @tparam S  the platform's table
    @tparam P  the product's behaviour or a baseline
*/
template <Executor E,
          EndpointLink L,
          GrantStore S,
          PoolerPolicy P = StandardPolicy>
class PoolerCore {
 public:
  /** Longest time that a read waits for its replica to catch up. */
  static constexpr Duration kFreshnessTimeout = std::chrono::milliseconds(60);
  /** @param executor  the control thread
      @param link      calls the endpoints
      @param store     the platform's table
      @param options   settings and surroundings
  */
  PoolerCore(E& executor, L& link, S& store, PoolerOptions options)
      : executor_(executor),
        options_(std::move(options)),
        table_(executor, link, store, options_),
        transactions_(options_.vm.value + "-" + options_.incarnation) {
    Tick();
  }

  /** Takes over a changed document or list of VMs.

      @param deployment  what is in force now
  */
  void Apply(std::shared_ptr<const Deployment> deployment) {
    deployment_ = std::move(deployment);
    table_.Apply(*deployment_);
  }

  /** Takes a request.

      @param request  what is asked
      @param done     called once with the answer
  */
  void Submit(PoolerRequest request, PoolerCompletion done) {
    ++in_progress_;
    auto job = std::make_shared<PendingRequest<Controller, Runner>>();
    job->arrived = executor_.Now();
    job->deadline = job->arrived + request.deadline;
    job->request = std::move(request);
    job->done = std::move(done);
    Start(job);
  }

  /** Refuses new work from now on; open transactions may still end. */
  void BeginDrain() { is_draining_ = true; }

  /** Rolls back the open transactions that have no statement in progress.

      @param reason  for the log
  */
  void RollBackIdleTransactions(std::string_view reason) {
    for (const OpenTransaction& it : transactions_.TakeAllIdle()) {
      Abort(it, reason);
    }
  }

  /** Orders a change of primary. @param group  the group  @returns false if it
      is not driven here */
  bool OrderPromotion(const GroupId& group) {
    Controller* desk = table_.FindController(group);
    return desk != nullptr && desk->OrderPromotion();
  }

  /** @returns requests not answered yet */
  size_t CountInProgress() const { return in_progress_; }
  /** @returns open transactions */
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
      Abort(it, "idle_limit");
    }
    executor_.After(Controller::kTickInterval, [this] { Tick(); });
  }

  void Start(const PendingRequestRef& job) {
    if (!deployment_ || deployment_->version == 0) {
      Refuse(job, Error::kNoDocument);
      return;
    }
    const PoolerRequest& request = job->request;
    const GroupShape* group = deployment_->document.FindGroup(request.group);
    const EndpointShape* endpoint =
        group == nullptr ? nullptr : FindEndpoint(*group, request);
    if (endpoint == nullptr) {
      Refuse(job, Error::kUnknownEndpoint);
      return;
    }
    job->transaction_idle_limit =
        deployment_->document.FindServiceOfGroup(request.group)
            ->transaction_idle_limit;
    job->desk = &table_.GetController(*group);
    job->runner = &table_.GetRunner(*endpoint);
    if (!request.transaction.IsEmpty()) {
      Continue(job);
    } else if (is_draining_) {
      Refuse(job, Error::kShuttingDown);
    } else if (request.verb == PoolerVerb::kRead) {
      StartRead(job);
    } else if (request.verb == PoolerVerb::kCommit ||
               request.verb == PoolerVerb::kRollback) {
      Refuse(job, Error::kNoTransaction);
    } else {
      StartWrite(job);
    }
  }

  static const EndpointShape* FindEndpoint(const GroupShape& group,
                                           const PoolerRequest& request) {
    const auto it = std::find_if(
        group.endpoints.begin(), group.endpoints.end(),
        [&](const EndpointShape& e) { return e.endpoint == request.endpoint; });
    return it == group.endpoints.end() ? nullptr : &*it;
  }

  // Reads.

  void StartRead(const PendingRequestRef& job) {
    const MemberState* member = GetState(job).Find(job->request.endpoint);
    if (member->report && !member->is_reachable) {
      Refuse(job, Error::kUnreachable);
      return;
    }
    if (P::kAvoidsLeaving && member->report && member->report->is_leaving) {
      Refuse(job, Error::kEndpointLeaving);
      return;
    }
    if (IsFresh(job)) {
      RunRead(job);
      return;
    }
    job->desk->AwaitCondition(
        [this, job] { return IsFresh(job); },
        std::min(job->deadline, job->arrived + kFreshnessTimeout),
        [this, job](bool is_met) {
          if (is_met) {
            RunRead(job);
          } else {
            Refuse(job, Error::kReplicaBehind);
          }
        });
  }

  bool IsFresh(const PendingRequestRef& job) const {
    return IsFreshEnough(GetState(job), job->request, executor_.Now());
  }

  void RunRead(const PendingRequestRef& job) {
    const MemberState* member = GetState(job).Find(job->request.endpoint);
    Run(job,
        MakeRunnerWork(job->request, job->deadline, member->report->term, {}),
        [this, job](const RunnerResult& end) {
          PoolerAnswer answer = MakePoolerAnswer(end);
          if (end.outcome != Outcome::kDone) {
            Answer(job, std::move(answer));
            return;
          }
          // What a later primary may discard must not be seen.
          const EndpointReport& report = end.answer.report;
          AwaitAcknowledgement(job, report.term, report.last,
                               std::move(answer));
        });
  }

  // Writes, openings of transactions, and lookups of recorded outcomes.

  void StartWrite(const PendingRequestRef& job) {
    if (!IsPrimaryReady(GetState(job), P::kAvoidsLeaving)) {
      job->desk->AwaitCondition(
          [this, job] {
            return IsPrimaryReady(GetState(job), P::kAvoidsLeaving);
          },
          job->deadline,
          [this, job](bool is_met) {
            if (is_met) {
              StartWrite(job);
            } else {
              Refuse(job, Error::kNoPrimary);
            }
          });
      return;
    }
    const PrimaryView primary = *GetState(job).GetPrimary();
    if (primary.endpoint != job->request.endpoint) {
      Refuse(job, Error::kNotPrimary);
      return;
    }
    if (job->desk->GetAckDelay() > job->deadline - executor_.Now()) {
      Refuse(job, Error::kReplicationBehind);
      return;
    }
    Run(job, MakeRunnerWork(job->request, job->deadline, primary.term, {}),
        [this, job, term = primary.term](const RunnerResult& end) {
          FinishWrite(job, term, end);
        });
  }

  void FinishWrite(const PendingRequestRef& job,
                   Term term,
                   const RunnerResult& end) {
    PoolerAnswer answer = MakePoolerAnswer(end);
    if (end.outcome == Outcome::kDone &&
        job->request.verb == PoolerVerb::kBegin) {
      answer.transaction = RegisterTransaction(job, term, end.connection);
      Answer(job, std::move(answer));
      return;
    }
    const bool is_settled_void = job->request.verb == PoolerVerb::kSettle &&
                                 end.ec == Error::kRequestVoid;
    if (end.outcome != Outcome::kDone && !is_settled_void) {
      Answer(job, std::move(answer));
      return;
    }
    AwaitAcknowledgement(job, term, end.answer.point, std::move(answer));
  }

  void AwaitAcknowledgement(const PendingRequestRef& job,
                            Term term,
                            LogPoint point,
                            PoolerAnswer answer) {
    job->desk->AwaitAcknowledgement(
        point, term, job->deadline,
        [this, job, point,
         answer = std::move(answer)](bool is_acknowledged) mutable {
          if (is_acknowledged && job->request.verb != PoolerVerb::kRead) {
            answer.point = point;
            answer.holders = GetState(job).ListHolders(point);
          } else if (!is_acknowledged) {
            answer.outcome = Outcome::kUnknown;
            answer.ec = Error::kDeadlineExceeded;
            answer.answer.clear();
            ReportMissedAck(job, point);
          }
          Answer(job, std::move(answer));
        });
  }

  void ReportMissedAck(const PendingRequestRef& job, LogPoint point) const {
    if (job->request.verb != PoolerVerb::kRead) {
      options_.events.on_ack_missed(job->request.group, point);
    }
  }

  // pooler_core_transactions.h: statements of open transactions.
  TransactionId RegisterTransaction(const PendingRequestRef& job,
                                    Term term,
                                    const ConnectionId& connection);
  void Continue(const PendingRequestRef& job);
  void ContinueUnknown(const PendingRequestRef& job);
  void FinishTransactionStatement(const PendingRequestRef& job,
                                  Term term,
                                  const RunnerResult& end);
  void Abort(const OpenTransaction& open, std::string_view reason);

  // Common steps.

  void Run(const PendingRequestRef& job,
           RunnerWork work,
           typename Runner::Completion done) {
    job->runner->Run(
        std::move(work), [this, job, done = std::move(done)](RunnerResult end) {
          job->waited = end.waited;
          job->ran = end.ran;
          if (end.answer.report.term != Term{}) {
            job->desk->RecordReport(job->request.endpoint, end.answer.report,
                                    executor_.Now() - end.ran);
          }
          done(std::move(end));
        });
  }

  const GroupState& GetState(const PendingRequestRef& job) const {
    return job->desk->GetState();
  }

  void Refuse(const PendingRequestRef& job, Error error) {
    PoolerAnswer answer;
    answer.ec = error;
    Answer(job, std::move(answer));
  }

  void Answer(const PendingRequestRef& job, PoolerAnswer answer) {
    answer.request = job->request.request;
    if (job->desk != nullptr) {
      if (const auto primary = GetState(job).GetPrimary()) {
        answer.primary = primary->endpoint;
        answer.primary_term = primary->term;
      }
    }
    --in_progress_;
    job->done(std::move(answer), PoolerTimings{job->waited, job->ran});
  }

  E& executor_;
  const PoolerOptions options_;
  std::shared_ptr<const Deployment> deployment_;
  GroupTable<E, L, S, P> table_;
  TransactionTable transactions_;
  size_t in_progress_ = 0;
  bool is_draining_ = false;
};

}  // namespace magnoliareel

#include "pooler/core/pooler_core_transactions.h"  // IWYU pragma: export

#endif  // MAGNOLIAREEL_POOLER_CORE_POOLER_CORE_H_
