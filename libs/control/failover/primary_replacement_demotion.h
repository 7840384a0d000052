#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_DEMOTION_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_DEMOTION_H_

// Methods of PrimaryReplacement that demote the primary and compare its log
// with the candidate's. Included by primary_replacement.h.

#include <algorithm>
#include <optional>
#include <string_view>
#include <system_error>
#include <vector>

#include "control/failover/primary_replacement.h"

namespace magnoliareel {

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::DemotePrimary(int attempt) {
  if (!plan_.primary) {
    CheckMembersOfUnreachedPrimary();
    return;
  }
  if (plan_.reason == ReplacementReason::kGone && !primary_status_ &&
      !plan_.unconfirmed_order_term && plan_.is_primary_listed()) {
    Finish(ReplacementOutcome::kAbandoned, {}, "the primary is listed again");
    return;
  }
  if (primary_status_) {
    // After its demotion it may crash and lead again.
    plan_.hold_commits();
  }
  // One that has reported that it is a replica may lead since.
  auto self = this->shared_from_this();
  const Duration timeout = primary_status_
                               ? kEndpointCommandTimeout
                               : kDemotionTimeouts.at(unanswered_demotions_);
  primary_commands_.Send(
      *plan_.primary, {EndpointCommandKind::kDemote, pause_term_}, timeout,
      [self, attempt](std::error_code ec, const ReplicationStatus& status) {
        if (ec == Error::kOverloaded && attempt < kMaxBusyDemotionRetries) {
          self->timing_.After(kBusyEndpointRetryInterval, [self, attempt] {
            self->DemotePrimary(attempt + 1);
          });
          return;
        }
        self->LogStep(*self->plan_.primary,
                      {EndpointCommandKind::kDemote, self->pause_term_}, ec,
                      status);
        if (ec == Error::kOverloaded) {
          self->Finish(ReplacementOutcome::kAbandoned, {},
                       "the primary has no free slot");
          return;
        }
        if (ec && !self->primary_status_) {
          self->HandleUnansweredDemotion(ec);
          return;
        }
        self->FinishDemotion(ec, status);
      });
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::HandleUnansweredDemotion(
    std::error_code ec) {
  if (ec == Error::kEndpointStopped) {
    CheckMembersOfUnreachedPrimary();
    return;
  }
  if (ec == Error::kAnswerLost) {
    demoted_primary_ = {plan_.primary_id, std::nullopt};
  }
  const bool is_unreachable = ec == Error::kUnreachable && !IsPrimaryAlive();
  if (is_unreachable && !plan_.may_gain_replica) {
    CheckMembersOfUnreachedPrimary();
    return;
  }
  ++unanswered_demotions_;
  if (unanswered_demotions_ >= kMinDemotionsOfUnlistedPrimary &&
      !plan_.is_primary_listed()) {
    CheckMembersOfUnlistedPrimary();
    return;
  }
  if (unanswered_demotions_ == kDemotionTimeouts.size()) {
    Finish(ReplacementOutcome::kAbandoned, {},
           "the primary is listed and does not confirm its demotion");
    return;
  }
  DemotePrimary(0);
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::CheckMembersOfUnlistedPrimary() {
  plan_.hold_commits();
  plan_.read_directory([self = this->shared_from_this()](std::error_code ec) {
    if (ec || self->plan_.is_primary_listed()) {
      self->Finish(ReplacementOutcome::kAbandoned, {},
                   "it is not known whether the primary runs");
      return;
    }
    self->FinishMembershipCheck({});
  });
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::CheckMembersOfUnreachedPrimary() {
  if (IsPrimaryAlive()) {
    timing_.After(kMembershipDelay, [self = this->shared_from_this()] {
      self->RepeatDemotion();
    });
    return;
  }
  plan_.hold_commits();
  if (plan_.is_store_connected) {
    BeginMembershipCheck();
  } else {
    FinishMembershipCheck({});
  }
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::RepeatDemotion() {
  plan_.hold_commits();
  if (!plan_.primary) {
    BeginMembershipCheck();
    return;
  }
  auto self = this->shared_from_this();
  const EndpointCommand command{EndpointCommandKind::kDemote, pause_term_};
  const bool was_demoted = primary_status_.has_value();
  primary_commands_.Send(
      *plan_.primary, command,
      was_demoted ? kRepeatedDemotionTimeout : kEndpointCommandTimeout,
      [self, command, was_demoted](std::error_code ec,
                                   const ReplicationStatus& status) {
        self->LogStep(*self->plan_.primary, command, ec, status);
        if (!ec && !was_demoted) {
          self->FinishDemotion(ec, status);
          return;
        }
        const bool may_lead = ec ? !was_demoted &&
                                       ec != Error::kEndpointStopped &&
                                       ec != Error::kUnreachable
                                 : status.is_primary;
        if (may_lead) {
          self->Finish(ReplacementOutcome::kAbandoned, {},
                       "the primary runs and does not confirm its demotion");
          return;
        }
        if (!ec) {
          if (status.received < self->primary_status_->received) {
            self->Finish(ReplacementOutcome::kAbandoned, {},
                         "the demoted primary has lost a part of its log");
            return;
          }
          self->primary_status_ = status;
          self->demoted_primary_ = {self->plan_.primary_id, status.received};
        }
        self->BeginMembershipCheck();
      });
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::BeginMembershipCheck() {
  plan_.read_directory([self = this->shared_from_this()](std::error_code ec) {
    self->FinishMembershipCheck(ec);
  });
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::FinishDemotion(
    std::error_code ec,
    const ReplicationStatus& status) {
  if (ec == Error::kAnswerLost) {
    demoted_primary_ = {plan_.primary_id, std::nullopt};
  }
  if (ec || status.is_primary) {
    Finish(ReplacementOutcome::kAbandoned, {},
           "the primary did not confirm its demotion");
    return;
  }
  // One that did not answer the survey is not held before.
  plan_.hold_commits();
  primary_status_ = status;
  demoted_primary_ = {plan_.primary_id, status.received};
  if (plan_.is_one_member_missing) {
    PauseDemotedPrimary();
    return;
  }
  // Earlier reports do not show what a replica holds now.
  for (SurveyedEndpoint& it : replicas_) {
    it.status.reset();
  }
  pending_ = 1;
  SendCommand(candidate_, {EndpointCommandKind::kReport, {}}, 0,
              &PrimaryReplacement::CompareWithPrimary);
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::ReportReplicas(Step next) {
  pending_ = replicas_.size();
  for (size_t it = 0; it < replicas_.size(); ++it) {
    SendCommand(it, {EndpointCommandKind::kReport, {}}, 0, next);
  }
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::CompareWithPrimary() {
  if (const std::optional<size_t> holder = FindLogEndHolder()) {
    candidate_ = *holder;
    check_ = PromotionCheck::kLogEnd;
    Promote();
    return;
  }
  const bool has_answered = replicas_[candidate_].status.has_value();
  if (candidate_reports_ == 0 ||
      (has_answered && candidate_reports_ < kMaxCandidateReports)) {
    ++candidate_reports_;
    timing_.After(kCandidateReportInterval, [self = this->shared_from_this()] {
      if (self->candidate_reports_ == 1) {
        self->ReportReplicas(&PrimaryReplacement::CompareWithPrimary);
        return;
      }
      self->pending_ = 1;
      self->SendCommand(self->candidate_, {EndpointCommandKind::kReport, {}}, 0,
                        &PrimaryReplacement::CompareWithPrimary);
    });
    return;
  }
  timing_.After(kMembershipDelay,
                [self = this->shared_from_this()] { self->RepeatDemotion(); });
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
std::optional<size_t> PrimaryReplacement<C, F, P, T>::FindLogEndHolder() const {
  if (!demoted_primary_ || !demoted_primary_->log_end) {
    return std::nullopt;
  }
  const auto holds_end = [&](size_t index) {
    const std::optional<ReplicationStatus>& status = replicas_[index].status;
    return status && status->received >= *demoted_primary_->log_end &&
           HasReceivedMost(index);
  };
  if (holds_end(candidate_)) {
    return candidate_;
  }
  if (!plan_.pending_promotion.IsEmpty()) {
    return std::nullopt;
  }
  for (size_t it = 0; it < replicas_.size(); ++it) {
    if (holds_end(it) && !replicas_[it].entry.draining &&
        !replicas_[it].status->is_primary) {
      return it;
    }
  }
  return std::nullopt;
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::FinishMembershipCheck(std::error_code ec) {
  if (ec && IsPrimaryAlive()) {
    // What is listed may be older than a replica that has joined.
    PromotePrimaryAgainOrAbandon(
        "the directory cannot be read, so that joined replicas are not known");
    return;
  }
  if (!AreMembersCompared()) {
    PromotePrimaryAgainOrAbandon(
        "a replica that has joined may hold the end of the log");
    return;
  }
  const Step next = &PrimaryReplacement::FinishReplicaCheck;
  pending_ = replicas_.size() + 1;
  for (size_t it = 0; it < replicas_.size(); ++it) {
    SendCommand(it, {EndpointCommandKind::kReport, {}}, 0, next);
  }
  plan_.find_answered_commit([self = this->shared_from_this(),
                              next](const std::optional<AnsweredCommit>& it) {
    self->answered_commit_ = it;
    self->CompleteCall(next);
  });
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
bool PrimaryReplacement<C, F, P, T>::AreMembersCompared() const {
  const std::vector<EndpointEntry> listed = plan_.list_endpoints();
  return std::all_of(listed.begin(), listed.end(), [&](const auto& entry) {
    return entry.id == plan_.primary_id ||
           std::any_of(plan_.replicas.begin(), plan_.replicas.end(),
                       [&](const EndpointEntry& it) {
                         return it.id == entry.id &&
                                it.started_at_ms == entry.started_at_ms;
                       });
  });
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::FinishReplicaCheck() {
  if (const std::optional<size_t> holder = FindLogEndHolder()) {
    candidate_ = *holder;
    check_ = PromotionCheck::kLogEnd;
    Promote();
    return;
  }
  // The directory may have listed another one while the replicas were asked.
  if (IsCandidateAhead() && AreMembersCompared()) {
    if (LacksAnsweredCommit()) {
      PromotePrimaryAgainOrAbandon(
          "no listed replica holds an answered commit");
      return;
    }
    check_ = PromotionCheck::kMembers;
    Promote();
    return;
  }
  PromotePrimaryAgainOrAbandon(
      "a replica may have received more than the candidate");
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
bool PrimaryReplacement<C, F, P, T>::LacksAnsweredCommit() {
  const LogPoint received = replicas_[candidate_].status->received;
  if (!answered_commit_ || received >= answered_commit_->point) {
    return false;
  }
  missing_commit_ = {*answered_commit_, replicas_[candidate_].entry.id,
                     received};
  return true;
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
bool PrimaryReplacement<C, F, P, T>::IsCandidateAhead() const {
  const std::optional<ReplicationStatus>& status = replicas_[candidate_].status;
  if (!status || status->received < compared_received_ ||
      !HasReceivedMost(candidate_)) {
    return false;
  }
  for (size_t it = 0; it < replicas_.size(); ++it) {
    const std::optional<ReplicationStatus>& other = replicas_[it].status;
    if (it != candidate_ && (!other || other->paused_at < pause_term_)) {
      return false;
    }
  }
  return true;
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
bool PrimaryReplacement<C, F, P, T>::MayPromotePrimaryAgain() const {
  const std::optional<LogPoint>& log_end =
      demoted_primary_ ? demoted_primary_->log_end
      : plan_.demoted_primary.id == plan_.primary_id
          ? plan_.demoted_primary.log_end
          : std::nullopt;
  return IsPrimaryDemoted() && log_end &&
         primary_status_->received >= *log_end &&
         plan_.pending_promotion.IsEmpty();
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::PromotePrimaryAgainOrAbandon(
    std::string_view reason) {
  if (!MayPromotePrimaryAgain()) {
    Finish(ReplacementOutcome::kAbandoned, {}, reason);
    return;
  }
  candidate_ = replicas_.size();
  replicas_.push_back({*plan_.primary, primary_status_});
  check_ = PromotionCheck::kPromotedAgain;
  Promote();
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_DEMOTION_H_
