#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_REPLACEMENT_PLAN_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_REPLACEMENT_PLAN_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <system_error>
#include <vector>

#include "control/failover/answered_commits.h"
#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** Reason for replacing a primary. */
enum class ReplacementReason {
  /** It announced that it will stop. */
  kDraining,
  /** The directory no longer lists it, or its promotion was never confirmed. */
  kGone,
  /** It cannot be reached or does not answer. */
  kUnreachable,
  /** It answers, but its commits are not acknowledged. */
  kCommitsStalled,
  /** It was demoted by an attempt that did not promote another endpoint. */
  kDemoted,
};

/** @param reason  the reason
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
    case ReplacementReason::kDemoted:
      return "demoted";
  }
  return "gone";
}

/** A primary that an attempt has demoted, or may have demoted by a command
   whose answer was lost. */
struct DemotedPrimary {
  EndpointId id;
  /** End of its log after the demotion; none if it was not confirmed. */
  std::optional<LogPoint> log_end;
};

/** A promotion that an attempt is about to order. */
struct PlannedOrder {
  EndpointId successor;
  /** Newest term that an endpoint has reported. */
  Term newest_term;
  /** The former primary has confirmed its demotion. */
  bool is_demoted = false;
};

/** Input of one attempt to replace a primary. */
struct ReplacementPlan {
  ServiceId service;
  /** The primary's entry, the last one if the directory does not list it any
      more; none if it was never listed or its promotion was never confirmed. */
  std::optional<EndpointEntry> primary;
  EndpointId primary_id;
  ReplacementReason reason = ReplacementReason::kGone;
  /** A VM has observed that the primary answers, but not commits. */
  bool answered_lately = false;
  /** Term that the primary led before the promotion of a replica was ordered
      that was not confirmed, 0 if it is not known; none if the primary was
      confirmed last. */
  std::optional<Term> unconfirmed_order_term;
  /** All other endpoints of the service, including one whose promotion
      failed. */
  std::vector<EndpointEntry> replicas;
  uint64_t fencing_token = 0;
  /** Endpoint that an earlier attempt tried to promote with an order that may
      still be executed; empty if none. As long as it answers, no other endpoint
      is promoted: the late order would end the pauses that a promotion relies
      on. */
  EndpointId pending_promotion;
  /** Primary that the latest attempt of this VM with a demotion has demoted. */
  DemotedPrimary demoted_primary;
  /** An order for the present primary may still take effect. */
  bool has_unsettled_orders = false;
  /** Departed replicas are not accounted for, so that no replica may be
      promoted. */
  bool has_unaccounted_departures = false;
  /** One departed replica is not accounted for, and no earlier order can take
      effect any more. Two members hold each acknowledged commit, so that the
      member that has received most holds all of them if every other member
      answers. */
  bool is_one_member_missing = false;
  /** Lists the service's endpoints in use at the time of the call. */
  std::function<std::vector<EndpointEntry>()> list_endpoints;
  /** The store answered when the attempt began. */
  bool is_store_connected = true;
  /** A member has left or is leaving, so that a replica may join in its place.
   */
  bool may_gain_replica = true;
  /** Returns whether the directory lists the primary, as far as this VM knows.
      It ceases to some time after the primary has ceased to report. */
  std::function<bool()> is_primary_listed;
  /** Reads the directory. Success means that list_endpoints then returns every
      endpoint that had joined some time before the call, and an error that this
      is not known. @see FailoverDelegate */
  std::function<void(std::function<void(std::error_code)>)> read_directory;
  /** Finds the newest commit of the service that a VM has answered; none if no
      replica acknowledges its commits. */
  std::function<void(std::function<void(const std::optional<AnsweredCommit>&)>)>
      find_answered_commit = [](const auto& done) { done(std::nullopt); };
  /** Called before a primary that answers is demoted, and before the order is
      decided if none does; may be called again. No VM may send a commit from
      then on until the attempt has ended without an order, or its order has
      taken effect. */
  std::function<void()> hold_commits = [] {};
  /** Finds out before the first order whether this VM still holds the duty.
      The result is Error::kSuperseded if it does not, and another error if that
      is not known. */
  std::function<void(std::function<void(std::error_code)>)> check_duty =
      [](const std::function<void(std::error_code)>& done) { done({}); };
  /** Called before the promotion of an endpoint is ordered for the first time.
   */
  std::function<void(const PlannedOrder&)> record_order =
      [](const PlannedOrder&) {};
};

/** Result of a replacement attempt. */
enum class ReplacementOutcome {
  /** The platform accepted the promotion. */
  kPromoted,
  /** Another endpoint is primary already. */
  kAlreadyReplaced,
  /** The primary is working; no replacement is needed. */
  kNotNeeded,
  /** A safe promotion is not possible at present. */
  kAbandoned,
  /** A VM with a newer fencing token has ordered a promotion. */
  kSuperseded,
  /** The answer to the promotion was lost; it may still be executed. */
  kUncertain,
};

/** What an attempt did with the primary before the promotion. */
enum class PrimaryDemotion {
  /** It confirmed its demotion. */
  kDemoted,
  /** It did not answer the survey, so that its demotion was not requested. */
  kNoAnswer,
  /** It was not surveyed, or is the endpoint that is promoted. */
  kNotAsked,
};

/** @param demotion  what was done
    @returns         its name in logs
*/
constexpr std::string_view GetPrimaryDemotionName(PrimaryDemotion demotion) {
  switch (demotion) {
    case PrimaryDemotion::kDemoted:
      return "demoted";
    case PrimaryDemotion::kNoAnswer:
      return "no_answer";
    case PrimaryDemotion::kNotAsked:
      return "not_asked";
  }
  return "not_asked";
}

/** What preceded the order of a promotion. */
enum class PromotionCheck {
  kNone,
  /** The candidate has received the whole log of the demoted primary. */
  kLogEnd,
  /** The directory lists no replica that the attempt does not know. */
  kMembers,
  /** The demoted primary is promoted again. */
  kPromotedAgain,
};

/** @param check  what preceded the order
    @returns      its name in logs
*/
constexpr std::string_view GetPromotionCheckName(PromotionCheck check) {
  switch (check) {
    case PromotionCheck::kNone:
      return "none";
    case PromotionCheck::kLogEnd:
      return "log_end";
    case PromotionCheck::kMembers:
      return "members";
    case PromotionCheck::kPromotedAgain:
      return "promoted_again";
  }
  return "none";
}

/** An answered commit that the candidate of an attempt does not hold. */
struct MissingCommit {
  AnsweredCommit commit;
  EndpointId candidate;
  /** End of the log that the candidate has received. */
  LogPoint received;
};

/** Result of a replacement attempt. */
struct ReplacementResult {
  ReplacementOutcome outcome = ReplacementOutcome::kAbandoned;
  /** The endpoint that is primary or whose promotion was ordered. */
  EndpointId primary;
  /** Term of the primary that kAlreadyReplaced refers to. */
  Term term;
  uint64_t fencing_token = 0;
  /** The attempt has sent an order. */
  bool has_ordered = false;
  /** A promotion under this token was not answered and may still be
      executed. */
  bool promotion_reply_lost = false;
  std::string_view reason;
  /** Endpoints that are paused or may become paused by a command that is still
      in transit. After a promotion they must stay paused until it has taken
      effect. */
  std::vector<EndpointEntry> possibly_paused;
  /** Term of these pauses. */
  Term pause_term;
  /** The primary answers, but an order for it may still take effect. */
  bool has_unsettled_orders = false;
  /** Set if the attempt has demoted the primary, or may have. */
  std::optional<DemotedPrimary> demoted_primary;
  /** What preceded the order, if a promotion was ordered. */
  PromotionCheck check = PromotionCheck::kNone;
  /** What became of the primary in this attempt. */
  PrimaryDemotion demotion = PrimaryDemotion::kNotAsked;
  /** End of the log that the endpoint whose promotion was ordered has reported
      last; none if the outcome is neither kPromoted nor kUncertain. */
  std::optional<LogPoint> promoted_received;
  /** Set if the candidate was not promoted for it. */
  std::optional<MissingCommit> missing_commit;
};

/** A replica and the status that it reported; none if it did not answer. */
struct SurveyedEndpoint {
  EndpointEntry entry;
  std::optional<ReplicationStatus> status;
};

/** Chooses the replica to promote: the one that has received most of the log,
    among those that answered and are not draining.

    @param replicas           surveyed endpoints, without the primary
    @param pending_promotion  endpoint of an order that may still be executed;
                              chosen if it answered
    @returns                  index of the candidate, or none if no replica
                              qualifies
*/
std::optional<size_t> ChoosePromotionCandidate(
    std::span<const SurveyedEndpoint> replicas,
    const EndpointId& pending_promotion);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_REPLACEMENT_PLAN_H_
