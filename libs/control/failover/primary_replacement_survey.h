#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_SURVEY_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_SURVEY_H_

// Methods of PrimaryReplacement that survey the group and decide whether its
// primary has to be replaced. Included by primary_replacement.h.

#include <algorithm>
#include <optional>
#include <system_error>

#include "control/failover/primary_replacement.h"

namespace magnoliareel {

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::SurveyPrimary(int attempt) {
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
        self->LogStep(*self->plan_.primary, {EndpointCommandKind::kReport, {}},
                      ec, status);
        self->primary_is_busy_ = ec == Error::kOverloaded;
        if (!ec) {
          self->primary_status_ = status;
        }
        self->CompleteCall(&PrimaryReplacement::FinishSurvey);
      });
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::FinishSurvey() {
  newest_held_term_ = primary_status_ ? primary_status_->term : Term{};
  Term newest_pause;
  for (const SurveyedEndpoint& it : replicas_) {
    if (it.status) {
      newest_held_term_ = std::max(newest_held_term_, it.status->term);
      newest_pause = std::max(newest_pause, it.status->paused_at);
    }
  }
  const Term newest_term = std::max(newest_held_term_, newest_pause);
  if (const SurveyedEndpoint* leader = FindLeader(newest_term)) {
    pause_term_ = leader->status->term;
    Finish(ReplacementOutcome::kAlreadyReplaced, leader->entry.id, "");
    return;
  }
  if (plan_.unconfirmed_order_term > Term{} && primary_status_ &&
      primary_status_->is_primary &&
      primary_status_->term > *plan_.unconfirmed_order_term) {
    pause_term_ = primary_status_->term;
    Finish(ReplacementOutcome::kAlreadyReplaced, plan_.primary_id, "");
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
  if (plan_.is_one_member_missing &&
      (plan_.reason == ReplacementReason::kGone || !MayPromotePrimaryAgain())) {
    ReplaceWithoutMember(newest_term);
    return;
  }
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

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
const SurveyedEndpoint* PrimaryReplacement<C, F, P, T>::FindLeader(
    Term newest_term) const {
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
                                    return it.status && it.status->is_primary &&
                                           it.status->term >= newest_term;
                                  });
  return found == replicas_.end() ? nullptr : &*found;
}

// While a promotion that was ordered has not taken effect, the old primary
// may be listed among the replicas. What it holds beyond the candidate's log
// was acknowledged by nobody.
template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::SetActingPrimaryAside() {
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
    return it.status && it.status->is_primary && it.status->term == newest_term;
  });
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
bool PrimaryReplacement<C, F, P, T>::IsPrimaryHealthy() const {
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
         (primary_status_ && std::any_of(replicas_.begin(), replicas_.end(),
                                         [&](const SurveyedEndpoint& it) {
                                           return it.status &&
                                                  it.status->received >=
                                                      primary_status_->received;
                                         }));
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_SURVEY_H_
