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

/** The same of a demotion. A primary without a free slot is alive, and the
    attempt has to wait for its answer. */
inline constexpr int kMaxBusyDemotionRetries = 40;

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

/** Timeout of the second demotion of a primary that has confirmed one. The
    order does not depend on its answer. */
inline constexpr Duration kRepeatedDemotionTimeout =
    std::chrono::milliseconds(100);

/** Timeouts of the demotions that are sent to a primary that does not answer,
    one after the other. The later ones wait for one that answers late. */
inline constexpr std::array<Duration, 4> kDemotionTimeouts = {
    kEndpointCommandTimeout / 2, kEndpointCommandTimeout, kLateDemotionTimeout,
    kLateDemotionTimeout};
/** A primary that is not listed any more counts as dead after this many of
    them, one of which has waited for a late answer. */
inline constexpr size_t kMinDemotionsOfUnlistedPrimary = 3;

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
    not list it any more.

    A replica that is not listed yet, or has left before it was, may have
    acknowledged commits as well. A candidate that does not hold the end of the
    demoted primary's log is therefore also compared with the newest commit that
    the VMs have answered, and is not promoted without it.

    If no endpoint leads and one replica has left without being accounted for,
    all other members together decide: one of them holds each acknowledged
    commit, and the one that has received most holds all of them.

    From the order until the promotion takes effect, an OrderGuard keeps what
    was checked as it was.

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
  void SurveyPrimary(int attempt);

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

  void FinishSurvey();

  /** @param newest_term  newest term that an endpoint leads or is paused at
      @returns            the endpoint that leads in place of the primary; null
                          if there is none */
  const SurveyedEndpoint* FindLeader(Term newest_term) const;

  /** @returns whether the primary has reported that it is a replica */
  bool IsPrimaryDemoted() const {
    return primary_status_ && !primary_status_->is_primary;
  }

  void SetActingPrimaryAside();

  /** @returns whether a VM has had an answer of the primary lately, so that it
               may acknowledge commits unless it was demoted */
  bool IsPrimaryAlive() const {
    return primary_status_ || primary_is_busy_ || plan_.answered_lately;
  }

  bool IsPrimaryHealthy() const;

  /** Promotes the member that has received most although one departed replica
      is not accounted for. All members are paused first, the demoted primary
      too: if the departed one leads, it can acknowledge nothing meanwhile.

      @param newest_term  newest term that an endpoint leads or is paused at */
  void ReplaceWithoutMember(Term newest_term);

  /** Continues with DemotePrimary(), or without a primary with
      BeginCheckWithoutMember(), once all replicas have confirmed their pause.
   */
  void FinishPauseOfAll();

  /** Continues with BeginCheckWithoutMember() once the demoted primary has
      confirmed its pause. */
  void PauseDemotedPrimary();

  /** Reads the directory, and continues with FinishCheckWithoutMember(). */
  void BeginCheckWithoutMember();

  /** @param ec  result of reading the directory */
  void FinishCheckWithoutMember(std::error_code ec);

  /** @returns whether the primary is demoted and has the whole log that it had
               led */
  bool MayPromotePrimaryAgain() const;

  void PauseOthers();

  void FinishPause();

  void FinishComparison();

  void FinishCandidatePause();

  /** Chooses the candidate, and continues with DemotePrimary().

      @param candidate  a replica that has received most */
  void DemotePrimaryFor(size_t candidate);

  /** Demotes the primary and continues with CompareWithPrimary(). If no VM has
      an answer of it, continues with HandleUnansweredDemotion(). Commits are
     held before if the primary has answered the survey, otherwise from its
     answer.

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
  /** Demotes the primary once more, because it may have been back or have led
      again since. Continues with BeginMembershipCheck(), or with
      FinishDemotion() if it had confirmed no demotion before. */
  void RepeatDemotion();
  /** Reads the directory, and continues with FinishMembershipCheck(). */
  void BeginMembershipCheck();
  /** Asks the replicas for reports and the VMs for the newest answered commit,
      and continues with FinishReplicaCheck(), unless a replica has joined or
      started anew, which may have acknowledged what the candidate lacks.

      @param ec  result of reading the directory
  */
  void FinishMembershipCheck(std::error_code ec);
  /** @returns whether the directory lists no replica that was not compared */
  bool AreMembersCompared() const;
  /** Promotes a replica that holds the whole log of the demoted primary, or the
      candidate if the others are still paused and behind it and it holds the
      newest answered commit; otherwise the demoted primary again, or none. */
  void FinishReplicaCheck();
  /** @returns whether a VM has answered a commit that the candidate does not
               hold */
  bool LacksAnsweredCommit();
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

  /** Continues with SendOrder(), the first time if this VM holds the duty. */
  void Promote();

  void SendOrder();

  void FinishPromotion(std::error_code ec);

  void LogStep(const EndpointEntry& endpoint,
               const EndpointCommand& command,
               std::error_code ec,
               const ReplicationStatus& status) const;

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
              std::string_view reason);

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
  /** Newest term that an endpoint was known to hold. */
  Term newest_held_term_;
  /** End of the candidate's log before the demotion. */
  LogPoint compared_received_;
  int candidate_pauses_ = 0;
  int candidate_reports_ = 0;
  size_t unanswered_demotions_ = 0;
  bool has_ordered_ = false;
  std::optional<DemotedPrimary> demoted_primary_;
  /** The newest commit that a VM has answered, as of the latest check. */
  std::optional<AnsweredCommit> answered_commit_;
  std::optional<MissingCommit> missing_commit_;
  bool has_unsettled_orders_ = false;
  int lost_promotion_replies_ = 0;
};

}  // namespace magnoliareel

// Definitions of the methods, in the order of the steps.
#include "control/failover/primary_replacement_demotion.h"  // IWYU pragma: export
#include "control/failover/primary_replacement_members.h"  // IWYU pragma: export
#include "control/failover/primary_replacement_order.h"   // IWYU pragma: export
#include "control/failover/primary_replacement_pauses.h"  // IWYU pragma: export
#include "control/failover/primary_replacement_survey.h"  // IWYU pragma: export

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_H_
