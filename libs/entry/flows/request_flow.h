#ifndef MAGNOLIAREEL_ENTRY_FLOWS_REQUEST_FLOW_H_
#define MAGNOLIAREEL_ENTRY_FLOWS_REQUEST_FLOW_H_

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "core/core.h"
#include "entry/flows/admit_request.h"
#include "entry/flows/attempt_probe.h"
#include "entry/flows/flow_context.h"
#include "entry/flows/pooler_requests.h"
#include "entry/policies/entry_policy.h"
#include "entry/pooler_link.h"
#include "entry/state/entry_state.h"
#include "entry/state/pooler_liveness_table.h"
#include "outcome/outcome.h"
#include "routing/routing.h"

namespace magnoliareel {

/** Processes one admitted request: sends it to poolers until an attempt
    succeeds, the outcome is final, or the deadline passes.

    Steps never overlap; each runs on the thread that completed the previous
    step.

    @tparam E  executor of the control thread
    @tparam L  transport to poolers
    @tparam P  the behaviour in production or a baseline
*/
template <Executor E, PoolerLink L, EntryPolicy P>
class RequestFlow : public std::enable_shared_from_this<RequestFlow<E, L, P>> {
 public:
  /** Longest backoff after the first round of attempts. */
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(20);
  /** Longest backoff after any round of attempts. */
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(200);
  /** Time after the deadline during which a pooler's answer is still awaited.
   */
  static constexpr Duration kAnswerGracePeriod = std::chrono::milliseconds(100);

  /** @param context     state of the entry; outlives this object
      @param deployment  deployment that the request was admitted against
      @param admitted    the request
      @param done        receives the answer; called once
  */
  RequestFlow(FlowContext<E, L, P>& context,
              std::shared_ptr<const Deployment> deployment,
              AdmittedRequest admitted,
              CallerCompletion done)
      : context_(context),
        admission_deployment_(std::move(deployment)),
        deployment_(admission_deployment_),
        admitted_(std::move(admitted)),
        done_(std::move(done)),
        deadline_(context_.executor.Now() + admitted_.request.deadline),
        verb_(ToPoolerVerb(admitted_.request.verb)) {}

  /** Makes the first attempt. */
  void Start() {
    context_.retry_budget.RecordRequest();
    Attempt();
  }

 private:
  bool IsBoundToTransaction() const {
    return admitted_.token.transaction && verb_ != PoolerVerb::kBegin &&
           verb_ != PoolerVerb::kSettle;
  }

  Repeatability GetRepeatability() const {
    const bool is_repeatable =
        verb_ == PoolerVerb::kRead || verb_ == PoolerVerb::kSettle ||
        verb_ == PoolerVerb::kBegin || admitted_.request.is_idempotent;
    return is_repeatable && !IsBoundToTransaction() ? Repeatability::kSafe
                                                    : Repeatability::kUnsafe;
  }

  void Attempt() {
    const Duration remaining = deadline_ - context_.executor.Now();
    if (remaining <= Duration::zero()) {
      Finish(last_answer_);
      return;
    }
    if (IsBoundToTransaction()) {
      const TransactionHandle& handle = *admitted_.token.transaction;
      Send(handle.endpoint, handle.vm, remaining);
      return;
    }
    if (next_endpoint_ >= endpoints_.size()) {
      RankEndpoints();
    }
    const EndpointId& endpoint = endpoints_[next_endpoint_];
    const auto owners = deployment_->ownership.GetOwners(endpoint);
    SkipSuspectedOwners(owners);
    if (next_owner_ >= owners.size()) {
      AttemptAfterBackoff();
      return;
    }
    Send(endpoint, owners[next_owner_], remaining);
  }

  /** Advances to the next owner that isn't suspected. Doesn't advance if all
      remaining owners are suspected. */
  void SkipSuspectedOwners(std::span<const VmId> owners) {
    size_t n = next_owner_;
    while (n < owners.size() && IsSuspected(owners[n])) {
      ++n;
    }
    if (n < owners.size()) {
      next_owner_ = n;
    }
  }

  bool IsSuspected(const VmId& vm) const {
    const VmEntry* entry = deployment_->FindVm(vm);
    return entry != nullptr &&
           context_.liveness.IsSuspected(entry->pooler_address,
                                         context_.executor.Now());
  }

  void RankEndpoints() {
    const auto hints = context_.state.GetHints();
    const EndpointId primary = FindPrimary(*hints);
    deployment_ = context_.state.GetDeployment();
    next_endpoint_ = 0;
    next_owner_ = 0;
    if (verb_ == PoolerVerb::kRead) {
      GroupWatermark watermark =
          P::kEnforcesReadYourWrites
              ? admitted_.token.GetWatermark(admitted_.group->group)
              : GroupWatermark{admitted_.group->group, {}, {}, {}};
      const ReadRequirements requirements{
          watermark.point, admitted_.request.max_age, context_.site, primary,
          std::move(watermark.holders)};
      const std::lock_guard lock(context_.random_mutex);
      endpoints_ = context_.read_policy.Rank(*admitted_.group, *hints,
                                             requirements, context_.random);
      return;
    }
    endpoints_ = {primary.IsEmpty()
                      ? admitted_.group->endpoints.front().endpoint
                      : primary};
  }

  /** Returns the primary from the entry's hints, or from the session token if
      there is no hint or the token's term is later. */
  EndpointId FindPrimary(const RouteHints& hints) const {
    const GroupId& group = admitted_.group->group;
    const auto hint = hints.GetPrimary(group);
    const GroupWatermark watermark = admitted_.token.GetWatermark(group);
    return !hint || hint->term < watermark.point.term ? watermark.primary
                                                      : hint->endpoint;
  }

  void Send(const EndpointId& endpoint, const VmId& vm, Duration remaining) {
    const VmEntry* entry = deployment_->FindVm(vm);
    if (entry == nullptr) {
      HandleReply(endpoint, {Error::kUnreachable, {}});
      return;
    }
    last_vm_ = vm;
    PoolerRequest request =
        MakePoolerRequest(admitted_.request, admitted_.token,
                          admitted_.group->group, endpoint, verb_, remaining);
    if constexpr (!P::kEnforcesReadYourWrites) {
      request.required = {};
    }
    const uint64_t attempt_id = ++attempt_id_;
    const std::string address = entry->pooler_address;
    context_.link.Call(address, request, remaining + kAnswerGracePeriod,
                       [self = this->shared_from_this(), endpoint, address,
                        attempt_id](PoolerReply reply) {
                         if (!reply.ec) {
                           self->context_.liveness.RecordAnswer(
                               address, self->context_.executor.Now());
                         }
                         self->CompleteAttempt(attempt_id, endpoint,
                                               std::move(reply));
                       });
    if constexpr (P::kProbesPoolers) {
      StartProbe(address, attempt_id, endpoint);
    }
  }

  /** Handles the first result of an attempt, which is the answer or the probe's
      abandonment, and ignores any later one. */
  void CompleteAttempt(uint64_t attempt_id,
                       const EndpointId& endpoint,
                       PoolerReply reply) {
    uint64_t expected = attempt_id;
    if (attempt_id_.compare_exchange_strong(expected, attempt_id + 1)) {
      HandleReply(endpoint, std::move(reply));
    }
  }

  void StartProbe(const std::string& address,
                  uint64_t attempt_id,
                  const EndpointId& endpoint) {
    const auto self = this->shared_from_this();
    std::make_shared<AttemptProbe<E, L>>(
        context_.executor, context_.link, context_.liveness, address,
        [self, attempt_id, endpoint] {
          self->CompleteAttempt(attempt_id, endpoint, {Error::kAnswerLost, {}});
        },
        [self, attempt_id] { return self->attempt_id_ != attempt_id; })
        ->Start();
  }

  void HandleReply(const EndpointId& endpoint, PoolerReply reply) {
    if (reply.ec) {
      reply.answer.outcome = ClassifyCall({reply.ec, {}});
      reply.answer.ec = reply.ec;
    }
    if (!P::kReportsUnknownOutcomes &&
        reply.answer.outcome == Outcome::kUnknown) {
      reply.answer.outcome = Outcome::kNotRun;
    }
    const PoolerAnswer& answer = reply.answer;
    if (!answer.primary.IsEmpty()) {
      context_.state.ReportPrimary(admitted_.group->group,
                                   {answer.primary, answer.primary_term});
    }
    if (answer.outcome == Outcome::kDone) {
      HandleSuccess(endpoint, answer);
      return;
    }
    if (IsBoundToTransaction()) {
      HandleTransactionFailure(reply);
      return;
    }
    RecordFailure(answer);
    switch (ChooseNextStep(answer.outcome, answer.ec, GetRepeatability())) {
      case NextStep::kAnswer:
        Finish(answer);
        return;
      case NextStep::kTryNext:
        TryNext(reply);
        return;
      case NextStep::kRetryLater:
        RetryLater(answer);
        return;
      case NextStep::kSettle:
        Settle();
        return;
    }
  }

  void RecordFailure(const PoolerAnswer& answer) {
    may_have_run_ |= answer.outcome == Outcome::kUnknown;
    last_answer_ = answer;
  }

  void TryNext(const PoolerReply& reply) {
    const PoolerAnswer& answer = reply.answer;
    const bool is_pooler_unavailable = reply.ec ||
                                       answer.ec == Error::kShuttingDown ||
                                       answer.ec == Error::kUnknownEndpoint;
    if (is_pooler_unavailable) {
      ++next_owner_;
      Attempt();
      return;
    }
    if (verb_ != PoolerVerb::kRead && !answer.primary.IsEmpty() &&
        answer.primary != endpoints_[next_endpoint_]) {
      endpoints_.assign(1, answer.primary);
      next_endpoint_ = 0;
      next_owner_ = 0;
      Attempt();
      return;
    }
    ++next_endpoint_;
    next_owner_ = 0;
    if (next_endpoint_ < endpoints_.size()) {
      Attempt();
    } else {
      AttemptAfterBackoff();
    }
  }

  void RetryLater(const PoolerAnswer& answer) {
    if (answer.outcome == Outcome::kUnknown &&
        !context_.retry_budget.TryRetry()) {
      Finish(answer);
      return;
    }
    AttemptAfterBackoff();
  }

  void AttemptAfterBackoff() {
    endpoints_.clear();
    next_endpoint_ = 0;
    ++round_count_;
    Duration backoff{0};
    {
      const std::lock_guard lock(context_.random_mutex);
      backoff = ChooseBackoff(round_count_, kInitialBackoff, kMaxBackoff,
                              context_.random);
    }
    const Duration remaining = deadline_ - context_.executor.Now();
    context_.executor.After(
        std::max(Duration::zero(), std::min(backoff, remaining)),
        [self = this->shared_from_this()] { self->Attempt(); });
  }

  /** Queries the recorded outcome of a request that may have run, because
      repeating it could apply its effect twice. */
  void Settle() {
    verb_ = PoolerVerb::kSettle;
    may_have_run_ = true;
    AttemptAfterBackoff();
  }

  void HandleTransactionFailure(const PoolerReply& reply) {
    const PoolerAnswer& answer = reply.answer;
    const bool is_pooler_unreachable = reply.ec == Error::kUnreachable;
    if (verb_ == PoolerVerb::kCommit &&
        (is_pooler_unreachable || answer.outcome == Outcome::kUnknown)) {
      // This attempt may not have sent the commit, but an earlier request of
      // the caller may have.
      last_answer_ = answer;
      Settle();
      return;
    }
    PoolerAnswer final = answer;
    if (is_pooler_unreachable) {
      final.outcome = Outcome::kFailed;
      final.ec = Error::kTransactionLost;
    }
    if (final.ec == Error::kTransactionLost ||
        (verb_ == PoolerVerb::kCommit && final.outcome == Outcome::kFailed)) {
      admitted_.token.transaction.reset();
    }
    Finish(final);
  }

  void HandleSuccess(const EndpointId& endpoint, const PoolerAnswer& answer) {
    SessionToken& token = admitted_.token;
    const GroupId& group = admitted_.group->group;
    if (answer.point != LogPoint{}) {
      token.RaiseWatermark({group, answer.point, endpoint, answer.holders});
      context_.state.ReportHolders(answer.holders, answer.point);
    }
    if (verb_ == PoolerVerb::kBegin) {
      token.transaction =
          TransactionHandle{answer.transaction, last_vm_, group, endpoint};
    } else if (IsTransactionEnd()) {
      token.transaction.reset();
    }
    served_by_ = endpoint;
    Finish(answer);
  }

  bool IsTransactionEnd() const {
    return admitted_.request.verb == CallerVerb::kCommit ||
           admitted_.request.verb == CallerVerb::kRollback;
  }

  void Finish(const PoolerAnswer& answer) {
    CallerAnswer result;
    result.request = admitted_.request.request;
    result.outcome = answer.outcome;
    // A refusal of the last attempt, or of the query for the outcome, doesn't
    // rule out that an earlier attempt ran.
    const bool may_have_run = may_have_run_ || verb_ == PoolerVerb::kSettle;
    if (may_have_run && answer.outcome == Outcome::kNotRun &&
        answer.ec != Error::kRequestVoid) {
      result.outcome = Outcome::kUnknown;
    }
    result.ec = answer.ec;
    if (answer.outcome == Outcome::kNotRun && !answer.ec) {
      result.ec = Error::kDeadlineExceeded;
    }
    result.answer = answer.answer;
    result.endpoint = served_by_;
    if (answer.ec == Error::kRequestVoid && IsTransactionEnd()) {
      result.ec = Error::kTransactionLost;
      admitted_.token.transaction.reset();
    }
    result.token = context_.sealer.Seal(admitted_.token);
    done_(std::move(result));
  }

  FlowContext<E, L, P>& context_;
  // Keeps alive the document that `admitted_.group` points into when
  // `deployment_` is replaced by a newer one.
  const std::shared_ptr<const Deployment> admission_deployment_;
  std::shared_ptr<const Deployment> deployment_;
  AdmittedRequest admitted_;
  const CallerCompletion done_;
  const TimePoint deadline_;
  PoolerVerb verb_;
  std::vector<EndpointId> endpoints_;
  size_t next_endpoint_ = 0;
  size_t next_owner_ = 0;
  int round_count_ = 0;
  PoolerAnswer last_answer_;
  VmId last_vm_;
  bool may_have_run_ = false;
  std::atomic<uint64_t> attempt_id_ = 0;
  EndpointId served_by_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_FLOWS_REQUEST_FLOW_H_
