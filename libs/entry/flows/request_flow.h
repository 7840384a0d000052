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

/** One admitted request: attempts at poolers until one succeeds, the outcome is
    final, or the deadline passes.

    Its steps run one after another, on the thread that ended the step before.

    @tparam E  the control thread
    @tparam L  the way to poolers
    @tparam P  the product's behaviour or a baseline
*/
template <Executor E, PoolerLink L, EntryPolicy P>
class RequestFlow : public std::enable_shared_from_this<RequestFlow<E, L, P>> {
 public:
  /** Longest pause after the first fruitless round. */
  static constexpr Duration kFirstPause = std::chrono::milliseconds(20);
  /** Longest pause ever. */
  static constexpr Duration kGreatestPause = std::chrono::milliseconds(200);
  /** Time that a pooler's answer may arrive after the deadline. */
  static constexpr Duration kAnswerGrace = std::chrono::milliseconds(100);

  /** @param context     of the entry; outlives this
      @param deployment  what was in force when the request was admitted
      @param admitted    the request
      @param done        called once
  */
  RequestFlow(FlowContext<E, L, P>& context,
              std::shared_ptr<const Deployment> deployment,
              AdmittedRequest admitted,
              CallerCompletion done)
      : context_(context),
        admitted_in_(std::move(deployment)),
        deployment_(admitted_in_),
        admitted_(std::move(admitted)),
        done_(std::move(done)),
        deadline_(context_.executor.Now() + admitted_.request.deadline),
        verb_(ToPoolerVerb(admitted_.request.verb)) {}

  /** Makes the first attempt. */
  void Start() {
    context_.budget.RecordRequest();
    Attempt();
  }

 private:
  bool IsBoundToTransaction() const {
    return admitted_.token.transaction && verb_ != PoolerVerb::kBegin &&
           verb_ != PoolerVerb::kSettle;
  }

  Repeatability GetRepeatability() const {
    const bool is_safe =
        verb_ == PoolerVerb::kRead || verb_ == PoolerVerb::kSettle ||
        verb_ == PoolerVerb::kBegin || admitted_.request.is_idempotent;
    return is_safe && !IsBoundToTransaction() ? Repeatability::kSafe
                                              : Repeatability::kUnsafe;
  }

  void Attempt() {
    const Duration left = deadline_ - context_.executor.Now();
    if (left <= Duration::zero()) {
      Finish(last_);
      return;
    }
    if (IsBoundToTransaction()) {
      const TransactionHandle& handle = *admitted_.token.transaction;
      Send(handle.endpoint, handle.vm, left);
      return;
    }
    if (next_endpoint_ >= endpoints_.size()) {
      RankEndpoints();
    }
    const EndpointId& endpoint = endpoints_[next_endpoint_];
    const auto owners = deployment_->ownership.GetOwners(endpoint);
    SkipSuspected(owners);
    if (next_owner_ >= owners.size()) {
      PauseThenAttempt();
      return;
    }
    Send(endpoint, owners[next_owner_], left);
  }

  /** Passes over owners that are suspected, unless no other is left. */
  void SkipSuspected(std::span<const VmId> owners) {
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
           context_.contacts.IsSuspected(entry->pooler_address,
                                         context_.executor.Now());
  }

  void RankEndpoints() {
    const auto hints = context_.state.GetHints();
    const EndpointId primary = FindPrimary(*hints);
    deployment_ = context_.state.GetDeployment();
    next_endpoint_ = 0;
    next_owner_ = 0;
    if (verb_ == PoolerVerb::kRead) {
      GroupWatermark mark =
          P::kEnforcesReadYourWrites
              ? admitted_.token.GetWatermark(admitted_.group->group)
              : GroupWatermark{admitted_.group->group, {}, {}, {}};
      const ReadRequirements needs{mark.point, admitted_.request.max_age,
                                   context_.site, primary,
                                   std::move(mark.holders)};
      const std::lock_guard lock(context_.random_mutex);
      endpoints_ = context_.read_policy.Rank(*admitted_.group, *hints, needs,
                                             context_.random);
      return;
    }
    endpoints_ = {primary.IsEmpty()
                      ? admitted_.group->endpoints.front().endpoint
                      : primary};
  }

  /** What this entry heard goes before what the session remembers, unless the
      session's is of a later term. */
  EndpointId FindPrimary(const RouteHints& hints) const {
    const GroupId& group = admitted_.group->group;
    const auto hint = hints.GetPrimary(group);
    const GroupWatermark mark = admitted_.token.GetWatermark(group);
    return !hint || hint->term < mark.point.term ? mark.primary
                                                 : hint->endpoint;
  }

  void Send(const EndpointId& endpoint, const VmId& vm, Duration left) {
    const VmEntry* entry = deployment_->FindVm(vm);
    if (entry == nullptr) {
      NoteReply(endpoint, {Error::kUnreachable, {}});
      return;
    }
    last_vm_ = vm;
    PoolerRequest request =
        MakePoolerRequest(admitted_.request, admitted_.token,
                          admitted_.group->group, endpoint, verb_, left);
    if constexpr (!P::kEnforcesReadYourWrites) {
      request.required = {};
    }
    const uint64_t attempt = ++attempt_;
    const std::string address = entry->pooler_address;
    context_.link.Call(address, request, left + kAnswerGrace,
                       [self = this->shared_from_this(), endpoint, address,
                        attempt](PoolerReply reply) {
                         if (!reply.ec) {
                           self->context_.contacts.NoteAnswer(
                               address, self->context_.executor.Now());
                         }
                         self->EndAttempt(attempt, endpoint, std::move(reply));
                       });
    if constexpr (P::kProbesPoolers) {
      Probe(address, attempt, endpoint);
    }
  }

  /** An attempt ends once: by its answer, or by being given up. */
  void EndAttempt(uint64_t attempt,
                  const EndpointId& endpoint,
                  PoolerReply reply) {
    uint64_t expected = attempt;
    if (attempt_.compare_exchange_strong(expected, attempt + 1)) {
      NoteReply(endpoint, std::move(reply));
    }
  }

  void Probe(const std::string& address,
             uint64_t attempt,
             const EndpointId& endpoint) {
    const auto self = this->shared_from_this();
    std::make_shared<AttemptProbe<E, L>>(
        context_.executor, context_.link, context_.contacts, address,
        [self, attempt, endpoint] {
          self->EndAttempt(attempt, endpoint, {Error::kAnswerLost, {}});
        },
        [self, attempt] { return self->attempt_ != attempt; })
        ->Start();
  }

  void NoteReply(const EndpointId& endpoint, PoolerReply reply) {
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
      Succeed(endpoint, answer);
      return;
    }
    if (IsBoundToTransaction()) {
      FailInTransaction(reply);
      return;
    }
    RememberFailure(answer);
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

  void RememberFailure(const PoolerAnswer& answer) {
    may_have_run_ |= answer.outcome == Outcome::kUnknown;
    last_ = answer;
  }

  void TryNext(const PoolerReply& reply) {
    const PoolerAnswer& answer = reply.answer;
    const bool is_pooler_gone = reply.ec || answer.ec == Error::kShuttingDown ||
                                answer.ec == Error::kUnknownEndpoint;
    if (is_pooler_gone) {
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
      PauseThenAttempt();
    }
  }

  void RetryLater(const PoolerAnswer& answer) {
    if (answer.outcome == Outcome::kUnknown && !context_.budget.TryRetry()) {
      Finish(answer);
      return;
    }
    PauseThenAttempt();
  }

  void PauseThenAttempt() {
    endpoints_.clear();
    next_endpoint_ = 0;
    ++rounds_;
    Duration pause{0};
    {
      const std::lock_guard lock(context_.random_mutex);
      pause =
          ChooseBackoff(rounds_, kFirstPause, kGreatestPause, context_.random);
    }
    const Duration left = deadline_ - context_.executor.Now();
    context_.executor.After(
        std::max(Duration::zero(), std::min(pause, left)),
        [self = this->shared_from_this()] { self->Attempt(); });
  }

  /** The request may have run: asks for its recorded outcome instead of
      repeating it. */
  void Settle() {
    verb_ = PoolerVerb::kSettle;
    may_have_run_ = true;
    PauseThenAttempt();
  }

  void FailInTransaction(const PoolerReply& reply) {
    const PoolerAnswer& answer = reply.answer;
    const bool is_pooler_lost = reply.ec == Error::kUnreachable;
    if (verb_ == PoolerVerb::kCommit &&
        (is_pooler_lost || answer.outcome == Outcome::kUnknown)) {
      // Even if nothing was sent now, an earlier request may have sent it.
      last_ = answer;
      Settle();
      return;
    }
    PoolerAnswer final = answer;
    if (is_pooler_lost) {
      final.outcome = Outcome::kFailed;
      final.ec = Error::kTransactionLost;
    }
    if (final.ec == Error::kTransactionLost ||
        (verb_ == PoolerVerb::kCommit && final.outcome == Outcome::kFailed)) {
      admitted_.token.transaction.reset();
    }
    Finish(final);
  }

  void Succeed(const EndpointId& endpoint, const PoolerAnswer& answer) {
    SessionToken& token = admitted_.token;
    const GroupId& group = admitted_.group->group;
    if (answer.point != LogPoint{}) {
      token.RaiseWatermark({group, answer.point, endpoint, answer.holders});
      context_.state.ReportHolders(answer.holders, answer.point);
    }
    if (verb_ == PoolerVerb::kBegin) {
      token.transaction =
          TransactionHandle{answer.transaction, last_vm_, group, endpoint};
    } else if (IsEndOfTransaction()) {
      token.transaction.reset();
    }
    served_by_ = endpoint;
    Finish(answer);
  }

  bool IsEndOfTransaction() const {
    return admitted_.request.verb == CallerVerb::kCommit ||
           admitted_.request.verb == CallerVerb::kRollback;
  }

  void Finish(const PoolerAnswer& answer) {
    CallerAnswer result;
    result.request = admitted_.request.request;
    result.outcome = answer.outcome;
    // A refusal of the last attempt, or of the lookup, says nothing about an
    // earlier attempt that may have run.
    const bool is_in_doubt = may_have_run_ || verb_ == PoolerVerb::kSettle;
    if (is_in_doubt && answer.outcome == Outcome::kNotRun &&
        answer.ec != Error::kRequestVoid) {
      result.outcome = Outcome::kUnknown;
    }
    result.ec = answer.ec;
    if (answer.outcome == Outcome::kNotRun && !answer.ec) {
      result.ec = Error::kDeadlineExceeded;
    }
    result.answer = answer.answer;
    result.endpoint = served_by_;
    if (answer.ec == Error::kRequestVoid && IsEndOfTransaction()) {
      result.ec = Error::kTransactionLost;
      admitted_.token.transaction.reset();
    }
    result.token = context_.sealer.Seal(admitted_.token);
    done_(std::move(result));
  }

  FlowContext<E, L, P>& context_;
  // Holds what `admitted_` points into while `deployment_` moves on.
  const std::shared_ptr<const Deployment> admitted_in_;
  std::shared_ptr<const Deployment> deployment_;
  AdmittedRequest admitted_;
  const CallerCompletion done_;
  const TimePoint deadline_;
  PoolerVerb verb_;
  std::vector<EndpointId> endpoints_;
  size_t next_endpoint_ = 0;
  size_t next_owner_ = 0;
  int rounds_ = 0;
  PoolerAnswer last_;
  VmId last_vm_;
  bool may_have_run_ = false;
  std::atomic<uint64_t> attempt_ = 0;
  EndpointId served_by_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_FLOWS_REQUEST_FLOW_H_
