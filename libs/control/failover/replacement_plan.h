#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_REPLACEMENT_PLAN_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_REPLACEMENT_PLAN_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** Why a primary is replaced. */
enum class ReplacementReason {
  /** It announced its end. */
  kDraining,
  /** The directory lists it no more. */
  kGone,
  /** It cannot be reached, or answers nothing. */
  kUnreachable,
  /** It answers, but its commits are not acknowledged. */
  kCommitsStalled,
};

/** @param reason  any
    @returns        its name in logs
*/
constexpr std::string_view GetReplacementReasonName(ReplacementReason reason) {
  switch (reason) {
    case ReplacementReason::kDraining:
      return "draining";
    case ReplacementReason::kGone:
      return "gone";
    case ReplacementReason::kUnreachable:
      return "unreachable";
    case ReplacementReason::kCommitsStalled:
      return "commits_stalled";
  }
  return "gone";
}

/** One attempt to replace a primary. */
struct ReplacementPlan {
  ServiceId service;
  /** The primary, if the directory lists it and it has led. */
  std::optional<EndpointEntry> primary;
  EndpointId primary_id;
  ReplacementReason reason = ReplacementReason::kGone;
  /** Every other endpoint of the service. */
  std::vector<EndpointEntry> replicas;
  uint64_t fencing_token = 0;
  /** Chosen by an earlier attempt whose order may still be carried out. */
  EndpointId preferred;
};

/** How an attempt ended. */
enum class ReplacementOutcome {
  /** The platform accepted the promotion. */
  kPromoted,
  /** Another endpoint leads already. */
  kAlreadyReplaced,
  /** The primary turned out to serve. */
  kNotNeeded,
  /** It could not be done safely now. */
  kAbandoned,
  /** A newer holder of the duty has acted. */
  kSuperseded,
  /** The order's answer was lost; it may be carried out. */
  kUncertain,
};

/** Result of an attempt. */
struct ReplacementResult {
  ReplacementOutcome outcome = ReplacementOutcome::kAbandoned;
  /** The endpoint that leads, or was ordered to. */
  EndpointId primary;
  /** Term in which it leads, if it does. */
  Term term;
  uint64_t fencing_token = 0;
  /** An order under the token had no answer and may still be carried out. */
  bool promotion_reply_lost = false;
  std::string_view reason;
  /** Endpoints that may be paused, now or by an order that is still under way.
      After a promotion they must stay so until it has taken effect. */
  std::vector<EndpointEntry> possibly_paused;
};

/** An endpoint with what it reported. */
struct SurveyedEndpoint {
  EndpointEntry entry;
  std::optional<ReplicationStatus> status;
};

/** Chooses the endpoint that takes over: the one that has received most, among
    those that stay.

    @param replicas   surveyed endpoints, the primary excluded
    @param preferred  goes before others that have received as much
    @returns          its index, or none if no endpoint can take over
*/
std::optional<size_t> ChoosePromotionCandidate(
    std::span<const SurveyedEndpoint> replicas,
    const EndpointId& preferred);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_REPLACEMENT_PLAN_H_
