#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_ORDER_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_ORDER_H_

// Methods of PrimaryReplacement that order the promotion and end the attempt.
// Included by primary_replacement.h.

#include <string>
#include <string_view>
#include <system_error>
#include <utility>

#include "control/failover/primary_replacement.h"

namespace magnoliareel {

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::Promote() {
  if (has_ordered_) {
    SendOrder();
    return;
  }
  plan_.check_duty([self = this->shared_from_this()](std::error_code ec) {
    if (ec == Error::kSuperseded) {
      self->Finish(ReplacementOutcome::kSuperseded, {}, "superseded");
    } else if (ec) {
      self->Finish(ReplacementOutcome::kAbandoned, {},
                   "it is not known whether this VM holds the duty");
    } else {
      self->SendOrder();
    }
  });
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::SendOrder() {
  if (!std::exchange(has_ordered_, true)) {
    plan_.record_order(
        {replicas_[candidate_].entry.id, newest_held_term_,
         demoted_primary_ && demoted_primary_->log_end.has_value()});
  }
  auto self = this->shared_from_this();
  promotions_.Promote(
      plan_.service, replicas_[candidate_].entry.id, plan_.fencing_token,
      [self](std::error_code ec) { self->FinishPromotion(ec); });
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::FinishPromotion(std::error_code ec) {
  const EndpointId primary = replicas_[candidate_].entry.id;
  if (!ec) {
    Finish(ReplacementOutcome::kPromoted, primary, "");
    return;
  }
  if (ec == Error::kSuperseded) {
    Finish(ReplacementOutcome::kSuperseded, {}, "superseded");
    return;
  }
  if (ec != Error::kAnswerLost) {
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

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::LogStep(
    const EndpointEntry& endpoint,
    const EndpointCommand& command,
    std::error_code ec,
    const ReplicationStatus& status) const {
  const SurveyedEndpoint* candidate =
      has_candidate_ ? &replicas_[candidate_] : nullptr;
  LogEvent(
      Event::kReplacementStep,
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
       {"candidate_received", candidate && candidate->status
                                  ? FormatLogPoint(candidate->status->received)
                                  : "none"},
       {"after_ms",
        std::to_string((timing_.Now() - began_at_).count() / 1000)}});
}

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::Finish(ReplacementOutcome outcome,
                                            EndpointId primary,
                                            std::string_view reason) {
  ReplacementResult result;
  result.outcome = outcome;
  result.primary = std::move(primary);
  result.term = pause_term_;
  result.fencing_token = plan_.fencing_token;
  result.has_ordered = has_ordered_;
  result.promotion_reply_lost = lost_promotion_replies_ > 0;
  result.reason = reason;
  result.possibly_paused = possibly_paused_;
  result.demoted_primary = demoted_primary_;
  result.has_unsettled_orders = has_unsettled_orders_;
  result.demotion = GetDemotion();
  result.pause_term = possibly_paused_.empty() ? Term{} : pause_term_;
  result.check = check_;
  result.missing_commit = missing_commit_;
  if (outcome == ReplacementOutcome::kPromoted ||
      outcome == ReplacementOutcome::kUncertain) {
    if (const auto& status = replicas_[candidate_].status) {
      result.promoted_received = status->received;
    }
  }
  done_(result);
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_ORDER_H_
