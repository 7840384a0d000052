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
  // One that has reported that it is a replica may lead since.
  auto self = this->shared_from_this();
  const Duration timeout = unanswered_demotions_ < kQuickDemotionAttempts
                               ? kEndpointCommandTimeout
                               : kLateDemotionTimeout;
  primary_commands_.Send(
      *plan_.primary, {EndpointCommandKind::kDemote, pause_term_}, timeout,
      [self, attempt](std::error_code ec, const ReplicationStatus& status) {
        if (ec == Error::kOverloaded && attempt < kMaxBusyEndpointRetries) {
          self->timing_.After(kBusyEndpointRetryInterval, [self, attempt] {
            self->DemotePrimary(attempt + 1);
          });
          return;
        }
        self->LogStep(*self->plan_.primary,
                      {EndpointCommandKind::kDemote, self->pause_term_}, ec,
                      status);
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
  if (!plan_.is_primary_listed()) {
    CheckMembersOfUnlistedPrimary();
    return;
  }
  if (++unanswered_demotions_ >= kMaxDemotionAttempts) {
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
void PrimaryReplacement<C, F, P, T>::DemoteUntilPromotion(int attempt) {
  const bool is_demoted = demoted_primary_ && demoted_primary_->log_end;
  const bool leads_again = replicas_[candidate_].entry.id == plan_.primary_id;
  if (!plan_.primary || is_demoted || leads_again || is_order_refused_ ||
      attempt >= kMaxLateDemotions) {
    return;
  }
  const EndpointCommand demotion{EndpointCommandKind::kDemote, pause_term_};
  primary_commands_.Send(
      *plan_.primary, demotion, kLateDemotionInterval,
      [self = this->shared_from_this(), demotion, attempt](
          std::error_code ec, const ReplicationStatus& status) {
        self->LogStep(*self->plan_.primary, demotion, ec, status);
        if (ec) {
          self->timing_.After(kLateDemotionInterval, [self, attempt] {
            self->DemoteUntilPromotion(attempt + 1);
          });
        }
      });
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::CheckMembersOfUnreachedPrimary() {
  const auto read = [self = this->shared_from_this()] {
    self->plan_.read_directory(
        [self](std::error_code ec) { self->FinishMembershipCheck(ec); });
  };
  if (IsPrimaryAlive()) {
    timing_.After(kMembershipDelay, read);
  } else if (plan_.is_store_connected) {
    read();
  } else {
    FinishMembershipCheck({});
  }
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
  primary_status_ = status;
  demoted_primary_ = {plan_.primary_id, status.received};
  CompareWithPrimary();
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::CompareWithPrimary() {
  const std::optional<ReplicationStatus>& status = replicas_[candidate_].status;
  if (status && status->received >= primary_status_->received) {
    check_ = PromotionCheck::kLogEnd;
    Promote();
    return;
  }
  if (status && candidate_reports_++ < kMaxCandidateReports) {
    timing_.After(kCandidateReportInterval, [self = this->shared_from_this()] {
      self->pending_ = 1;
      self->SendCommand(self->candidate_, {EndpointCommandKind::kReport, {}}, 0,
                        &PrimaryReplacement::CompareWithPrimary);
    });
    return;
  }
  timing_.After(kMembershipDelay, [self = this->shared_from_this()] {
    self->plan_.read_directory(
        [self](std::error_code ec) { self->FinishMembershipCheck(ec); });
  });
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
  const std::vector<EndpointEntry> listed = plan_.list_endpoints();
  const bool is_known =
      std::all_of(listed.begin(), listed.end(), [&](const auto& entry) {
        return entry.id == plan_.primary_id ||
               std::any_of(
                   plan_.replicas.begin(), plan_.replicas.end(),
                   [&](const EndpointEntry& it) { return it.id == entry.id; });
      });
  if (is_known && replicas_[candidate_].status) {
    check_ = PromotionCheck::kMembers;
    Promote();
    return;
  }
  PromotePrimaryAgainOrAbandon(
      "a replica that has joined may hold the end of the log");
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::PromotePrimaryAgainOrAbandon(
    std::string_view reason) {
  const std::optional<LogPoint>& log_end =
      demoted_primary_ ? demoted_primary_->log_end
      : plan_.demoted_primary.id == plan_.primary_id
          ? plan_.demoted_primary.log_end
          : std::nullopt;
  if (!IsPrimaryDemoted() || !log_end || primary_status_->received < *log_end ||
      !plan_.pending_promotion.IsEmpty()) {
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
