#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_H_

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/failover/endpoint_commands.h"
#include "control/failover/replacement_plan.h"
#include "core/core.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** Delay before a command that found no free slot is sent again. */
inline constexpr Duration kBusyEndpointRetryInterval =
    std::chrono::milliseconds(25);
/** Maximum number of retries of a command that found no free slot. */
inline constexpr int kMaxBusyEndpointRetries = 12;

/** Maximum number of times that a promotion is ordered if its answers are
    lost. */
inline constexpr int kMaxPromotionAttempts = 4;

/** Interval between two reports of a candidate that may still receive what a
    demoted primary has sent. */
inline constexpr Duration kCandidateReportInterval =
    std::chrono::milliseconds(25);
/** Maximum number of these reports. Together they take longer than a commit
    needs between regions. */
inline constexpr int kMaxCandidateReports = 6;
/** Time after a demotion by which the directory lists every endpoint that had
    joined before it. */
inline constexpr Duration kMembershipDelay = std::chrono::milliseconds(1000);

/** Timeouts of the demotions that are sent to a primary that does not answer,
    one after the other. The later ones wait for one that answers late. */
inline constexpr std::array<Duration, 4> kDemotionTimeouts = {
    kEndpointCommandTimeout / 2, kEndpointCommandTimeout, kLateDemotionTimeout,
    kLateDemotionTimeout};
/** A primary that is not listed any more counts as dead after this many of
    them, one of which has waited for a late answer. */
inline constexpr size_t kMinDemotionsOfUnlistedPrimary = 3;
/** Interval at which a primary that has not confirmed its demotion is sent
    another one, from the order of a promotion until it takes effect. */
inline constexpr Duration kLateDemotionInterval =
    std::chrono::milliseconds(300);
/** Maximum number of these demotions. Together they outlast a promotion. */
inline constexpr int kMaxLateDemotions = 6;

/** One attempt to replace a primary without losing an acknowledged commit.

    A commit is acknowledged once the primary and one replica hold it. The
    attempt chooses a candidate and pauses replication on every other replica.
    From then on, the primary can acknowledge a commit only if the candidate
    holds it. Once the candidate has received at least as much of the log as
    every paused replica, it also holds every commit acknowledged before the
    pause.

    That does not hold for a replica that joins later, since nothing pauses it,
    nor for one whose pause ends: it has started anew, or has executed a resume
    that was sent earlier. A primary that answers is therefore demoted before
    the promotion. It acknowledges nothing beyond the end of its log from then
    on, and a replica that holds this end can be promoted whatever became of the
    others. If none does, and a replica has joined or may have received more
    than the candidate, the demoted primary is promoted again, and the next
    attempt includes that replica.

    Silence does not show that a primary is dead. One that answers no VM is sent
    demotions by all of them. It is replaced without an answer if its host
    refuses connections, or if no VM can open one and its group has all of its
    members: the compared replicas are then the only ones through which it can
    acknowledge commits. While it accepts connections, or a replica may join in
    the place of one that has left, it is replaced only once the directory does
    not list it any more. It is sent further demotions until the promotion takes
    effect, since it may have started again.

    @tparam C  sends commands to replicas, @see EndpointCommandSender
    @tparam F  sends commands to the primary, through other VMs if this one does
               not reach it, @see EndpointCommandSender
    @tparam P  @see PromotionSender
    @tparam T  provides Now() and After(), @see FailoverDelegate
*/
template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
class PrimaryReplacement
    : public std::enable_shared_from_this<PrimaryReplacement<C, F, P, T>> {
 public:
  /** Called once with the result. */
  using Completion = std::function<void(const ReplacementResult&)>;

  /** @param commands    must outlive the attempt
      @param primary_commands  must outlive the attempt
      @param promotions  must outlive the attempt
      @param timing      must outlive the attempt
      @param plan        the service, its endpoints and the fencing token
      @param done        called once with the result
  */
  PrimaryReplacement(C& commands,
                     F& primary_commands,
                     P& promotions,
                     T& timing,
                     ReplacementPlan plan,
                     Completion done)
      : commands_(commands),
        primary_commands_(primary_commands),
        promotions_(promotions),
        timing_(timing),
        plan_(std::move(plan)),
        done_(std::move(done)),
        began_at_(timing.Now()) {
    for (const EndpointEntry& it : plan_.replicas) {
      replicas_.push_back({it, std::nullopt});
    }
  }

  /** Starts the attempt. The object keeps itself alive until the attempt
      ends. */
  void Start() {
    std::vector<size_t> all(replicas_.size());
    for (size_t it = 0; it < all.size(); ++it) {
      all[it] = it;
    }
    pending_ = all.size() + 1;
    for (const size_t it : all) {
      SendCommand(it, {EndpointCommandKind::kReport, {}}, 0,
                  &PrimaryReplacement::FinishSurvey);
    }
    SurveyPrimary(0);
  }

 private:
  using Step = void (PrimaryReplacement::*)();

  /** @param attempt  number of times that the primary had no free slot */
  void SurveyPrimary(int attempt) {
    if (!plan_.primary) {
      CompleteCall(&PrimaryReplacement::FinishSurvey);
      return;
    }
    was_primary_asked_ = true;
    auto self = this->shared_from_this();
    primary_commands_.Send(
        *plan_.primary, {EndpointCommandKind::kReport, {}},
        kEndpointCommandTimeout / 2,
        [self, attempt](std::error_code ec, const ReplicationStatus& status) {
          if (ec == Error::kOverloaded && attempt < kMaxBusyEndpointRetries &&
              self->plan_.reason != ReplacementReason::kCommitsStalled) {
            self->timing_.After(kBusyEndpointRetryInterval, [self, attempt] {
              self->SurveyPrimary(attempt + 1);
            });
            return;
          }
          self->LogStep(*self->plan_.primary,
                        {EndpointCommandKind::kReport, {}}, ec, status);
          self->primary_is_busy_ = ec == Error::kOverloaded;
          if (!ec) {
            self->primary_status_ = status;
          }
          self->CompleteCall(&PrimaryReplacement::FinishSurvey);
        });
  }

  void SendCommand(size_t index,
                   EndpointCommand command,
                   int attempt,
                   Step next) {
    auto self = this->shared_from_this();
    commands_.Send(
        replicas_[index].entry, command, kEndpointCommandTimeout,
        [self, index, command, attempt, next](std::error_code ec,
                                              const ReplicationStatus& status) {
          if (ec == Error::kOverloaded && attempt < kMaxBusyEndpointRetries) {
            self->timing_.After(kBusyEndpointRetryInterval,
                                [self, index, command, attempt, next] {
                                  self->SendCommand(index, command, attempt + 1,
                                                    next);
                                });
            return;
          }
          self->LogStep(self->replicas_[index].entry, command, ec, status);
          self->replicas_[index].status.reset();
          if (!ec) {
            self->replicas_[index].status = status;
          }
          self->CompleteCall(next);
        });
  }

  void CompleteCall(Step next) {
    if (--pending_ == 0) {
      (this->*next)();
    }
  }

  void FinishSurvey() {
    Term newest_term = primary_status_ ? primary_status_->term : Term{};
    for (const SurveyedEndpoint& it : replicas_) {
      if (it.status) {
        newest_term =
            std::max({newest_term, it.status->term, it.status->paused_at});
      }
    }
    if (const SurveyedEndpoint* leader = FindLeader(newest_term)) {
      pause_term_ = leader->status->term;
      Finish(ReplacementOutcome::kAlreadyReplaced, leader->entry.id, "");
      return;
    }
    if (IsPrimaryHealthy()) {
      Finish(ReplacementOutcome::kNotNeeded, plan_.primary_id, "");
      return;
    }
    const bool is_gone = plan_.reason == ReplacementReason::kGone;
    if (plan_.has_unsettled_orders && !is_gone && primary_status_ &&
        primary_status_->is_primary) {
      // The order changes nothing while the primary leads, but would undo its
      // demotion.
      has_unsettled_orders_ = true;
      Finish(ReplacementOutcome::kAbandoned, {},
             "an order for the primary may still take effect");
      return;
    }
    if (IsPrimaryDemoted() && !is_gone &&
        plan_.reason != ReplacementReason::kDemoted) {
      // The VM that demoted it may have ordered a promotion.
      Finish(ReplacementOutcome::kAbandoned, {},
             "another VM has demoted the primary");
      return;
    }
    SetActingPrimaryAside();
    if (plan_.has_unaccounted_departures) {
      PromotePrimaryAgainOrAbandon("a departed replica is unaccounted for");
      return;
    }
    if (std::any_of(replicas_.begin(), replicas_.end(),
                    [](const SurveyedEndpoint& it) { return !it.status; })) {
      // It may be the only replica that holds an acknowledged commit. The
      // others go on receiving, or commits would stall while it is silent.
      PromotePrimaryAgainOrAbandon("a replica does not answer");
      return;
    }
    const std::optional<size_t> next =
        ChoosePromotionCandidate(replicas_, plan_.pending_promotion);
    if (!next) {
      PromotePrimaryAgainOrAbandon("no replica is eligible for promotion");
      return;
    }
    candidate_ = *next;
    has_candidate_ = true;
    if (!plan_.is_store_connected && primary_status_ &&
        replicas_[candidate_].status->received < primary_status_->received &&
        plan_.reason == ReplacementReason::kCommitsStalled) {
      // The membership check could not succeed, and a demotion would only
      // interrupt the service.
      PromotePrimaryAgainOrAbandon(
          "no replica holds the end of the log, and the directory cannot be "
          "read");
      return;
    }
    pause_term_ = newest_term.Next();
    PauseOthers();
  }

  /** @param newest_term  newest term that an endpoint leads or is paused at
      @returns            the endpoint that leads in place of the primary; null
                          if there is none */
  const SurveyedEndpoint* FindLeader(Term newest_term) const {
    // A primary that is gone may be back under another id, in its old term. The
    // pauses of earlier attempts don't count then.
    const bool may_have_returned = plan_.reason == ReplacementReason::kGone &&
                                   plan_.primary && !primary_status_ &&
                                   plan_.pending_promotion.IsEmpty();
    if (may_have_returned) {
      newest_term = {};
      for (const SurveyedEndpoint& it : replicas_) {
        newest_term =
            it.status ? std::max(newest_term, it.status->term) : newest_term;
      }
    }
    const auto found = std::find_if(replicas_.begin(), replicas_.end(),
                                    [newest_term](const SurveyedEndpoint& it) {
                                      return it.status &&
                                             it.status->is_primary &&
                                             it.status->term >= newest_term;
                                    });
    return found == replicas_.end() ? nullptr : &*found;
  }

  /** @returns whether the primary has reported that it is a replica */
  bool IsPrimaryDemoted() const {
    return primary_status_ && !primary_status_->is_primary;
  }

  // While a promotion that was ordered has not taken effect, the old primary
  // may be listed among the replicas. What it holds beyond the candidate's log
  // was acknowledged by nobody.
  void SetActingPrimaryAside() {
    if (plan_.pending_promotion.IsEmpty()) {
      return;
    }
    if (const EndpointId& demoted = plan_.demoted_primary.id;
        demoted != plan_.pending_promotion) {
      std::erase_if(replicas_, [&demoted](const SurveyedEndpoint& it) {
        return it.entry.id == demoted;
      });
    }
    Term newest_term;
    for (const SurveyedEndpoint& it : replicas_) {
      if (it.status) {
        newest_term = std::max(newest_term, it.status->term);
      }
    }
    std::erase_if(replicas_, [newest_term](const SurveyedEndpoint& it) {
      return it.status && it.status->is_primary &&
             it.status->term == newest_term;
    });
  }

  /** @returns whether a VM has had an answer of the primary lately, so that it
               may acknowledge commits unless it was demoted */
  bool IsPrimaryAlive() const {
    return primary_status_ || primary_is_busy_ || plan_.answered_lately;
  }

  bool IsPrimaryHealthy() const {
    if (plan_.reason == ReplacementReason::kDemoted) {
      return primary_status_ && primary_status_->is_primary;
    }
    if (plan_.reason != ReplacementReason::kCommitsStalled) {
      return false;
    }
    // Commits stall if no replica has received the end of the primary's log.
    // A primary without a free slot is only busy: its commits wait for slots,
    // too.
    return primary_is_busy_ ||
           (primary_status_ &&
            std::any_of(replicas_.begin(), replicas_.end(),
                        [&](const SurveyedEndpoint& it) {
                          return it.status && it.status->received >=
                                                  primary_status_->received;
                        }));
  }

  void PauseOthers() {
    std::vector<size_t> others;
    for (size_t it = 0; it < replicas_.size(); ++it) {
      if (it != candidate_) {
        others.push_back(it);
      }
    }
    pending_ = others.size() + 1;
    for (const size_t it : others) {
      possibly_paused_.push_back(replicas_[it].entry);
      SendCommand(it, {EndpointCommandKind::kPause, pause_term_}, 0,
                  &PrimaryReplacement::FinishPause);
    }
    CompleteCall(&PrimaryReplacement::FinishPause);
  }

  void FinishPause() {
    for (size_t it = 0; it < replicas_.size(); ++it) {
      const bool accounted =
          it == candidate_ || (replicas_[it].status &&
                               replicas_[it].status->paused_at >= pause_term_);
      if (!accounted) {
        // This replica may be the only one that holds an acknowledged commit.
        Finish(ReplacementOutcome::kAbandoned, {},
               "a replica did not confirm its pause");
        return;
      }
    }
    pending_ = 1;
    SendCommand(candidate_, {EndpointCommandKind::kReport, {}}, 0,
                &PrimaryReplacement::FinishComparison);
  }

  void FinishComparison() {
    if (!replicas_[candidate_].status) {
      Finish(ReplacementOutcome::kAbandoned, {},
             "the candidate did not report its status");
      return;
    }
    if (HasReceivedMost(candidate_)) {
      DemotePrimaryFor(candidate_);
      return;
    }
    if (replicas_[candidate_].entry.id == plan_.pending_promotion) {
      Finish(ReplacementOutcome::kAbandoned, {},
             "an earlier promotion of a replica that is behind may still be "
             "executed");
      return;
    }
    if (++candidate_pauses_ > 1) {
      Finish(ReplacementOutcome::kAbandoned, {},
             "no replica holds every commit");
      return;
    }
    // Another replica has received more. With the candidate paused as well, no
    // further commit is acknowledged, and the replica that has received most
    // holds every acknowledged commit.
    possibly_paused_.push_back(replicas_[candidate_].entry);
    pending_ = 1;
    SendCommand(candidate_, {EndpointCommandKind::kPause, pause_term_}, 0,
                &PrimaryReplacement::FinishCandidatePause);
  }

  void FinishCandidatePause() {
    const auto& status = replicas_[candidate_].status;
    if (!status || status->paused_at < pause_term_) {
      Finish(ReplacementOutcome::kAbandoned, {},
             "the candidate did not confirm its pause");
      return;
    }
    for (size_t it = 0; it < replicas_.size(); ++it) {
      if (HasReceivedMost(it) && !replicas_[it].entry.draining) {
        DemotePrimaryFor(it);
        return;
      }
    }
    // Only a draining replica holds every commit. It is promoted and is primary
    // until the next attempt replaces it.
    for (size_t it = 0; it < replicas_.size(); ++it) {
      if (HasReceivedMost(it)) {
        candidate_ = it;
      }
    }
    DemotePrimaryFor(candidate_);
  }

  /** Chooses the candidate, and continues with DemotePrimary().

      @param candidate  a replica that has received most */
  void DemotePrimaryFor(size_t candidate) {
    candidate_ = candidate;
    compared_received_ = replicas_[candidate].status->received;
    DemotePrimary(0);
  }

  /** Demotes the primary and continues with CompareWithPrimary(). If no VM has
      an answer of it, continues with HandleUnansweredDemotion().

      @param attempt  number of times that the primary had no free slot for the
                      command
  */
  void DemotePrimary(int attempt);
  /** Continues with CheckMembersOfUnreachedPrimary() if the primary does not
      run, or if no VM reaches it and it cannot gain a replica; with
      CheckMembersOfUnlistedPrimary() if the directory has ceased to list it;
      otherwise with the next DemotePrimary().

      @param ec  result of the demotion
  */
  void HandleUnansweredDemotion(std::error_code ec);
  /** Continues with FinishMembershipCheck() if a read of the directory confirms
      that the primary is not listed. */
  void CheckMembersOfUnlistedPrimary();
  /** Demotes the primary unless it has confirmed its demotion, and again until
      the promotion has taken effect.

      @param attempt  number of demotions since the order
  */
  void DemoteUntilPromotion(int attempt);
  /** Continues with FinishMembershipCheck(): at once if the primary seems to be
      dead; with a delay if its commits stalled a moment ago, since it may still
      acknowledge them through a replica that has just joined. */
  void CheckMembersOfUnreachedPrimary();
  void FinishDemotion(std::error_code ec, const ReplicationStatus& status);
  /** Asks all replicas for their status.

      @param next  called when each has answered, or has failed to */
  void ReportReplicas(Step next);
  /** Promotes a replica once it has received the whole log of the demoted
      primary; otherwise continues with FinishMembershipCheck() later. */
  void CompareWithPrimary();
  /** @returns the replica to promote, which has received the whole log of the
               demoted primary; none if there is none, or the primary has not
               confirmed its demotion */
  std::optional<size_t> FindLogEndHolder() const;
  /** Continues with FinishReplicaCheck() unless a replica has joined or started
      anew, which may have acknowledged what the candidate lacks.

      @param ec  result of reading the directory
  */
  void FinishMembershipCheck(std::error_code ec);
  /** @returns whether the directory lists no replica that was not compared */
  bool AreMembersCompared() const;
  /** Promotes a replica that holds the whole log of the demoted primary, or the
      candidate if the others are still paused and behind it. */
  void FinishReplicaCheck();
  /** @returns whether no replica can have received more than the candidate */
  bool IsCandidateAhead() const;
  /** Promotes the demoted primary, which holds every acknowledged commit, so
      that the service has a primary again.

      @param reason  why no replica can be promoted; the attempt is abandoned
                     for it if this VM has not demoted the primary
  */
  void PromotePrimaryAgainOrAbandon(std::string_view reason);

  /** @param index  a replica that has answered
      @returns      whether none that has answered has received more */
  bool HasReceivedMost(size_t index) const {
    const LogPoint received = replicas_[index].status->received;
    return std::all_of(replicas_.begin(), replicas_.end(),
                       [&](const SurveyedEndpoint& it) {
                         return !it.status || it.status->received <= received;
                       });
  }

  void Promote() {
    const bool is_first_order = lost_promotion_replies_ == 0;
    if (is_first_order) {
      plan_.record_order(replicas_[candidate_].entry.id);
    }
    auto self = this->shared_from_this();
    promotions_.Promote(
        plan_.service, replicas_[candidate_].entry.id, plan_.fencing_token,
        [self](std::error_code ec) { self->FinishPromotion(ec); });
    if (is_first_order) {
      ordered_at_ = timing_.Now();
      DemoteUntilPromotion(0);
    }
  }

  void FinishPromotion(std::error_code ec) {
    const EndpointId primary = replicas_[candidate_].entry.id;
    if (!ec) {
      Finish(ReplacementOutcome::kPromoted, primary, "");
      return;
    }
    if (ec == Error::kSuperseded) {
      is_order_refused_ = true;
      Finish(ReplacementOutcome::kSuperseded, {}, "superseded");
      return;
    }
    if (ec != Error::kAnswerLost) {
      is_order_refused_ = lost_promotion_replies_ == 0;
      Finish(ReplacementOutcome::kAbandoned, {},
             "the platform did not accept the promotion");
      return;
    }
    if (++lost_promotion_replies_ < kMaxPromotionAttempts) {
      // Repeating the same order is safe: each copy names the same endpoint,
      // whichever of them is executed, and whenever.
      Promote();
      return;
    }
    Finish(ReplacementOutcome::kUncertain, primary,
           "the answer to the promotion was lost");
  }

  void LogStep(const EndpointEntry& endpoint,
               const EndpointCommand& command,
               std::error_code ec,
               const ReplicationStatus& status) const {
    const SurveyedEndpoint* candidate =
        has_candidate_ ? &replicas_[candidate_] : nullptr;
    LogEvent(Event::kReplacementStep,
             {{"service", plan_.service.value},
              {"endpoint", endpoint.id.value},
              {"step", std::string(GetEndpointCommandName(command.kind))},
              {"role", status.is_primary ? "primary" : "replica"},
              {"term", std::to_string(status.term.value)},
              {"received", FormatLogPoint(status.received)},
              {"error", ec ? ec.message() : "none"},
              {"command_term", std::to_string(command.term.value)},
              {"paused_at", std::to_string(status.paused_at.value)},
              {"born", std::to_string(endpoint.started_at_ms)},
              {"candidate", candidate ? candidate->entry.id.value : "none"},
              {"candidate_received",
               candidate && candidate->status
                   ? FormatLogPoint(candidate->status->received)
                   : "none"},
              {"after_ms",
               std::to_string((timing_.Now() - began_at_).count() / 1000)}});
  }

  /** @returns what became of the primary in this attempt, for log lines */
  PrimaryDemotion GetDemotion() const {
    if (demoted_primary_ && demoted_primary_->log_end) {
      return PrimaryDemotion::kDemoted;
    }
    return was_primary_asked_ && !primary_status_ ? PrimaryDemotion::kNoAnswer
                                                  : PrimaryDemotion::kNotAsked;
  }

  void Finish(ReplacementOutcome outcome,
              EndpointId primary,
              std::string_view reason) {
    ReplacementResult result;
    result.outcome = outcome;
    result.primary = std::move(primary);
    result.term = pause_term_;
    result.fencing_token = plan_.fencing_token;
    result.promotion_reply_lost = lost_promotion_replies_ > 0;
    result.reason = reason;
    result.possibly_paused = possibly_paused_;
    result.pause_term = pause_term_;
    result.demoted_primary = demoted_primary_;
    result.has_unsettled_orders = has_unsettled_orders_;
    result.demotion = GetDemotion();
    result.pause_term = possibly_paused_.empty() ? Term{} : pause_term_;
    result.check = check_;
    if (outcome == ReplacementOutcome::kPromoted ||
        outcome == ReplacementOutcome::kUncertain) {
      if (const auto& status = replicas_[candidate_].status) {
        result.promoted_received = status->received;
      }
    }
    done_(result);
  }

  C& commands_;
  F& primary_commands_;
  P& promotions_;
  T& timing_;
  const ReplacementPlan plan_;
  const Completion done_;
  const TimePoint began_at_;
  std::vector<SurveyedEndpoint> replicas_;
  std::optional<ReplicationStatus> primary_status_;
  bool primary_is_busy_ = false;
  bool was_primary_asked_ = false;
  std::vector<EndpointEntry> possibly_paused_;
  size_t pending_ = 0;
  size_t candidate_ = 0;
  /** The survey has ended with the choice of a candidate. */
  bool has_candidate_ = false;
  PromotionCheck check_ = PromotionCheck::kNone;
  Term pause_term_;
  /** What the candidate had received when it was chosen. */
  LogPoint compared_received_;
  int candidate_pauses_ = 0;
  int candidate_reports_ = 0;
  size_t unanswered_demotions_ = 0;
  /** Time of the first order. */
  TimePoint ordered_at_;
  /** The platform has refused the order, so that no promotion takes effect. */
  bool is_order_refused_ = false;
  std::optional<DemotedPrimary> demoted_primary_;
  bool has_unsettled_orders_ = false;
  int lost_promotion_replies_ = 0;
};

}  // namespace magnoliareel

#include "control/failover/primary_replacement_demotion.h"  // IWYU pragma: export

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_H_
