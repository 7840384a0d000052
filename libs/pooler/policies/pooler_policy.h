#ifndef MAGNOLIAREEL_POOLER_POLICIES_POOLER_POLICY_H_
#define MAGNOLIAREEL_POOLER_POLICIES_POOLER_POLICY_H_

#include <concepts>

#include "failover/failover.h"
#include "pool/pool.h"

namespace magnoliareel {

/** Concept of a policy that selects the mechanisms of a pooler. The product
    uses StandardPolicy. The other policies are baselines that replace or omit
    one mechanism each, so that an experiment can show its effect.
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
  /** Policy that sets when terms are granted. */
  using Grants = PrefetchedGrants;
  /** True if writes are acknowledged, and reads answered, only once a majority
      holds the data. */
  static constexpr bool kMajorityAcks = true;
  /** True if endpoints record the request of a write together with its
      effect. */
  static constexpr bool kRecordsRequests = true;
  /** True if a transaction is pinned to its connection. */
  static constexpr bool kPinsConnections = true;
  /** True if an answer is accepted only if it names its request. */
  static constexpr bool kMatchesAnswers = true;
  /** True if a leaving endpoint receives no new work. */
  static constexpr bool kAvoidsLeaving = true;
  /** True if the pooler asks other poolers for the document while the platform
      does not answer. */
  static constexpr bool kAsksPeers = true;
};

/** Baseline: statements start first in, first out. */
struct FifoPolicy : StandardPolicy {
  /** @see StandardPolicy::Queue */
  using Queue = FifoQueue;
};

/** Baseline: a term is granted only when a promotion needs it. */
struct OnDemandGrantsPolicy : StandardPolicy {
  /** @see StandardPolicy::Grants */
  using Grants = OnDemandGrants;
};

/** Baseline: the primary alone acknowledges a write. */
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

/** Baseline: answers are accepted without a check of their request. */
struct UnmatchedPolicy : StandardPolicy {
  /** @see StandardPolicy::kMatchesAnswers */
  static constexpr bool kMatchesAnswers = false;
};

/** Baseline: leaving endpoints receive work like any other endpoint. */
struct LeavingIgnoredPolicy : StandardPolicy {
  /** @see StandardPolicy::kAvoidsLeaving */
  static constexpr bool kAvoidsLeaving = false;
};

/** Baseline: only the platform provides the document. */
struct NoPeersPolicy : StandardPolicy {
  /** @see StandardPolicy::kAsksPeers */
  static constexpr bool kAsksPeers = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_POLICIES_POOLER_POLICY_H_
