#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_PAUSES_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_PAUSES_H_

// Methods of PrimaryReplacement that pause the replicas and choose the one to
// promote. Included by primary_replacement.h.

#include <vector>

#include "control/failover/primary_replacement.h"

namespace magnoliareel {

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::PauseOthers() {
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

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::FinishPause() {
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

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::FinishComparison() {
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
    Finish(ReplacementOutcome::kAbandoned, {}, "no replica holds every commit");
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

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::FinishCandidatePause() {
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

template <EndpointCommandSender C,
          EndpointCommandSender F,
          PromotionSender P,
          class T>
void PrimaryReplacement<C, F, P, T>::DemotePrimaryFor(size_t candidate) {
  candidate_ = candidate;
  compared_received_ = replicas_[candidate].status->received;
  DemotePrimary(0);
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_PAUSES_H_
