#ifndef MAGNOLIAREEL_POOLER_POLICIES_POOLER_POLICY_H_
#define MAGNOLIAREEL_POOLER_POLICIES_POOLER_POLICY_H_

#include <concepts>

#include "failover/failover.h"
#include "pool/pool.h"

namespace magnoliareel {

/** What a pooler's behaviour is put together from. The product runs
    StandardPolicy; the others are baselines, each with one mechanism replaced
    or left out, so that an experiment can show what the mechanism is for.
*/
template <class T>
concept PoolerPolicy = WorkQueue<typename T::Queue> &&
    GrantPolicy<typename T::Grants> && requires {
  { T::kMajorityAcks } -> std::convertible_to<bool>;
  { T::kRecordsRequests } -> std::convertible_to<bool>;
  { T::kPinsConnections } -> std::convertible_to<bool>;
  { T::kMatchesAnswers } -> std::convertible_to<bool>;
  { T::kAvoidsLeaving } -> std::convertible_to<bool>;
  { T::kAsksPeers } -> std::convertible_to<bool>;
};

/** The product's behaviour. */
struct StandardPolicy {
  /** Order in which statements start. */
  using Queue = FairQueue;
  /** When terms are granted. */
  using Grants = PrefetchedGrants;
  /** Whether writes are acknowledged, and reads answered, once a majority
      holds them. */
  static constexpr bool kMajorityAcks = true;
  /** Whether a write's request is recorded with its effect. */
  static constexpr bool kRecordsRequests = true;
  /** Whether a transaction keeps its connection. */
  static constexpr bool kPinsConnections = true;
  /** Whether an answer must name the request that it answers. */
  static constexpr bool kMatchesAnswers = true;
  /** Whether a leaving endpoint gets no new work. */
  static constexpr bool kAvoidsLeaving = true;
  /** Whether other poolers are asked for the document while the platform does
      not answer. */
  static constexpr bool kAsksPeers = true;
};

/** Baseline: first in, first out. */
struct FifoPolicy : StandardPolicy {
  /** @see StandardPolicy::Queue */
  using Queue = FifoQueue;
};

/** Baseline: terms are granted when a promotion needs them. */
struct OnDemandGrantsPolicy : StandardPolicy {
  /** @see StandardPolicy::Grants */
  using Grants = OnDemandGrants;
};

/** Baseline: the primary alone acknowledges. */
struct PrimaryAcksPolicy : StandardPolicy {
  /** @see StandardPolicy::kMajorityAcks */
  static constexpr bool kMajorityAcks = false;
};

/** Baseline: requests are not recorded. */
struct UnrecordedPolicy : StandardPolicy {
  /** @see StandardPolicy::kRecordsRequests */
  static constexpr bool kRecordsRequests = false;
};

/** Baseline: a transaction's statements run on any connection. */
struct UnpinnedPolicy : StandardPolicy {
  /** @see StandardPolicy::kPinsConnections */
  static constexpr bool kPinsConnections = false;
};

/** Baseline: answers are taken as they come. */
struct UnmatchedPolicy : StandardPolicy {
  /** @see StandardPolicy::kMatchesAnswers */
  static constexpr bool kMatchesAnswers = false;
};

/** Baseline: leaving endpoints get work like any other. */
struct LeavingIgnoredPolicy : StandardPolicy {
  /** @see StandardPolicy::kAvoidsLeaving */
  static constexpr bool kAvoidsLeaving = false;
};

/** Baseline: the document comes from the platform alone. */
struct NoPeersPolicy : StandardPolicy {
  /** @see StandardPolicy::kAsksPeers */
  static constexpr bool kAsksPeers = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_POLICIES_POOLER_POLICY_H_
