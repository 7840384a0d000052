#ifndef MAGNOLIAREEL_ENTRY_POLICIES_ENTRY_POLICY_H_
#define MAGNOLIAREEL_ENTRY_POLICIES_ENTRY_POLICY_H_

#include <concepts>

#include "routing/routing.h"

namespace magnoliareel {

/** What an entry's behaviour is put together from. The product runs
    StandardEntryPolicy; the others are baselines for experiments.
*/
template <class T>
concept EntryPolicy = ReadPolicy<typename T::Reads> && requires {
  { T::kEnforcesReadYourWrites } -> std::convertible_to<bool>;
  { T::kReportsUnknownOutcomes } -> std::convertible_to<bool>;
  { T::kProbesPoolers } -> std::convertible_to<bool>;
};

/** The product's behaviour. */
struct StandardEntryPolicy {
  /** Order in which endpoints are tried for reads. */
  using Reads = ReplicasFirst;
  /** Whether a read asks for the session's last write. */
  static constexpr bool kEnforcesReadYourWrites = true;
  /** Whether a request whose answer was lost may have run. */
  static constexpr bool kReportsUnknownOutcomes = true;
  /** Whether a silent pooler is pinged and given up. */
  static constexpr bool kProbesPoolers = true;
};

/** Baseline: all reads go to the primary. */
struct PrimaryReadsPolicy : StandardEntryPolicy {
  /** @see StandardEntryPolicy::Reads */
  using Reads = PrimaryOnly;
};

/** Baseline: reads do not ask for the session's writes. */
struct StaleReadsPolicy : StandardEntryPolicy {
  /** @see StandardEntryPolicy::kEnforcesReadYourWrites */
  static constexpr bool kEnforcesReadYourWrites = false;
};

/** Baseline: a silent pooler is waited for until the deadline. */
struct NoProbesPolicy : StandardEntryPolicy {
  /** @see StandardEntryPolicy::kProbesPoolers */
  static constexpr bool kProbesPoolers = false;
};

/** Baseline: a lost answer is taken for a refusal. */
struct AssumeNotRunPolicy : StandardEntryPolicy {
  /** @see StandardEntryPolicy::kReportsUnknownOutcomes */
  static constexpr bool kReportsUnknownOutcomes = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_POLICIES_ENTRY_POLICY_H_
