#ifndef MAGNOLIAREEL_ENTRY_POLICIES_ENTRY_POLICY_H_
#define MAGNOLIAREEL_ENTRY_POLICIES_ENTRY_POLICY_H_

#include <concepts>

#include "routing/routing.h"

namespace magnoliareel {

/** Selects variants of an entry's behaviour at compile time. Production uses
    StandardEntryPolicy; the other policies are baselines for experiments.
*/
template <class T>
concept EntryPolicy = ReadPolicy<typename T::Reads> && requires {
  { T::kEnforcesReadYourWrites } -> std::convertible_to<bool>;
  { T::kReportsUnknownOutcomes } -> std::convertible_to<bool>;
  { T::kProbesPoolers } -> std::convertible_to<bool>;
};

/** The behaviour in production. */
struct StandardEntryPolicy {
  /** Orders the endpoints of a group for a read. */
  using Reads = ReplicasFirst;
  /** True if a read requires an endpoint that holds the session's last
      write. */
  static constexpr bool kEnforcesReadYourWrites = true;
  /** True if a request whose answer was lost has the outcome kUnknown; if
      false, it counts as kNotRun. */
  static constexpr bool kReportsUnknownOutcomes = true;
  /** True if a silent pooler is pinged, and its attempt abandoned if the ping
      fails. */
  static constexpr bool kProbesPoolers = true;
};

/** Baseline: all reads go to the primary. */
struct PrimaryReadsPolicy : StandardEntryPolicy {
  /** @see StandardEntryPolicy::Reads */
  using Reads = PrimaryOnly;
};

/** Baseline: reads do not require the session's writes and may return older
    data. */
struct StaleReadsPolicy : StandardEntryPolicy {
  /** @see StandardEntryPolicy::kEnforcesReadYourWrites */
  static constexpr bool kEnforcesReadYourWrites = false;
};

/** Baseline: the entry waits for a silent pooler until the deadline. */
struct NoProbesPolicy : StandardEntryPolicy {
  /** @see StandardEntryPolicy::kProbesPoolers */
  static constexpr bool kProbesPoolers = false;
};

/** Baseline: a request whose answer was lost is reported as not run. */
struct AssumeNotRunPolicy : StandardEntryPolicy {
  /** @see StandardEntryPolicy::kReportsUnknownOutcomes */
  static constexpr bool kReportsUnknownOutcomes = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_POLICIES_ENTRY_POLICY_H_
