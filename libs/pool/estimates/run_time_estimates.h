#ifndef MAGNOLIAREEL_POOL_ESTIMATES_RUN_TIME_ESTIMATES_H_
#define MAGNOLIAREEL_POOL_ESTIMATES_RUN_TIME_ESTIMATES_H_

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** Classifies statements as short or long by the run times of earlier
    statements with the same fingerprint.

    Statements that differ only in digits have the same fingerprint. The table
    is bounded; the least recently run fingerprint is evicted first.

    @see ComputeStatementFingerprint
*/
class RunTimeEstimates {
 public:
  /** Maximum number of fingerprints in the table. */
  static constexpr size_t kMaxFingerprints = 1024;
  /** Run time from which a run counts as long. */
  static constexpr Duration kLongRunTime = std::chrono::milliseconds(100);
  /** Weighted share of long runs above which a fingerprint is classified as
      long. With kNewestRunWeight, a single slow run isn't enough to exceed
      it. */
  static constexpr double kLongShareThreshold = 0.5;
  /** Weight of the newest run in the exponential average of the share of long
      runs. */
  static constexpr double kNewestRunWeight = 0.25;

  /** Classifies a statement.

      @param statement  text of the statement
      @param declared   class declared by the caller
      @returns          kLong if the class was declared as kLong or earlier runs
                        were mostly long; otherwise kShort
  */
  WorkClass Classify(std::string_view statement, WorkClass declared);

  /** Updates the estimate from a completed run.

      @param statement  text of the statement
      @param run_time   its run time
  */
  void Learn(std::string_view statement, Duration run_time);

 private:
  struct Estimate {
    uint64_t fingerprint = 0;
    double long_share = 0;
  };

  // The most recently run fingerprint comes first.
  std::list<Estimate> recent_;
  std::unordered_map<uint64_t, std::list<Estimate>::iterator> estimates_;
};

/** @param statement  text of a statement
    @returns          hash of the first 128 bytes that are not digits */
uint64_t ComputeStatementFingerprint(std::string_view statement);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOL_ESTIMATES_RUN_TIME_ESTIMATES_H_
