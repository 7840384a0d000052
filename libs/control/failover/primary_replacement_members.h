#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_MEMBERS_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_MEMBERS_H_

// Methods of PrimaryReplacement that promote a member although one departed
// replica is not accounted for. Included by primary_replacement.h.

#include <algorithm>
#include <optional>
#include <system_error>

#include "control/failover/primary_replacement.h"

namespace magnoliareel {

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::ReplaceWithoutMember(Term newest_term) {
  if ((plan_.primary && !primary_status_) ||
      std::any_of(replicas_.begin(), replicas_.end(),
                  [](const SurveyedEndpoint& it) { return !it.status; })) {
    Finish(ReplacementOutcome::kAbandoned, {},
           "a departed replica is unaccounted for, and another member does not "
           "answer");
    return;
  }
  pause_term_ = newest_term.Next();
  pending_ = replicas_.size() + 1;
  for (size_t it = 0; it < replicas_.size(); ++it) {
    possibly_paused_.push_back(replicas_[it].entry);
    SendCommand(it, {EndpointCommandKind::kPause, pause_term_}, 0,
                &PrimaryReplacement::FinishPauseOfAll);
  }
  CompleteCall(&PrimaryReplacement::FinishPauseOfAll);
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::FinishPauseOfAll() {
  const bool are_paused = std::all_of(
      replicas_.begin(), replicas_.end(), [this](const SurveyedEndpoint& it) {
        return it.status && it.status->paused_at >= pause_term_;
      });
  if (!are_paused) {
    Finish(ReplacementOutcome::kAbandoned, {},
           "a replica did not confirm its pause");
    return;
  }
  if (plan_.primary) {
    DemotePrimary(0);
    return;
  }
  BeginCheckWithoutMember();
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::PauseDemotedPrimary() {
  possibly_paused_.push_back(*plan_.primary);
  const EndpointCommand command{EndpointCommandKind::kPause, pause_term_};
  commands_.Send(*plan_.primary, command, kEndpointCommandTimeout,
                 [self = this->shared_from_this(), command](
                     std::error_code ec, const ReplicationStatus& status) {
                   self->LogStep(*self->plan_.primary, command, ec, status);
                   if (ec || status.paused_at < self->pause_term_) {
                     self->Finish(
                         ReplacementOutcome::kAbandoned, {},
                         "the demoted primary did not confirm its pause");
                     return;
                   }
                   self->primary_status_ = status;
                   self->BeginCheckWithoutMember();
                 });
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::BeginCheckWithoutMember() {
  plan_.read_directory([self = this->shared_from_this()](std::error_code ec) {
    self->FinishCheckWithoutMember(ec);
  });
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::FinishCheckWithoutMember(
    std::error_code ec) {
  const LogPoint log_end =
      primary_status_ ? primary_status_->received : LogPoint{};
  const bool is_shortened = primary_status_ &&
                            plan_.demoted_primary.id == plan_.primary_id &&
                            plan_.demoted_primary.log_end > log_end;
  if (ec || is_shortened || !AreMembersCompared()) {
    Finish(ReplacementOutcome::kAbandoned, {},
           "a departed replica is unaccounted for, and another member is not "
           "compared");
    return;
  }
  std::optional<size_t> holder;
  for (size_t it = 0; it < replicas_.size(); ++it) {
    const bool is_most =
        HasReceivedMost(it) && replicas_[it].status->received >= log_end;
    // A draining one is promoted if no other one holds as much.
    const bool is_eligible =
        !replicas_[it].entry.draining ||
        (!holder && replicas_[it].status->received > log_end);
    if (is_most && is_eligible) {
      holder = it;
    }
  }
  if (!holder) {
    PromotePrimaryAgainOrAbandon("no replica holds the end of the log");
    return;
  }
  candidate_ = *holder;
  check_ = PromotionCheck::kLogEnd;
  Promote();
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_MEMBERS_H_
