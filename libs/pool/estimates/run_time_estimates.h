#ifndef MAGNOLIAREEL_POOL_ESTIMATES_RUN_TIME_ESTIMATES_H_
#define MAGNOLIAREEL_POOL_ESTIMATES_RUN_TIME_ESTIMATES_H_

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** Learns how long statements of each shape run, and tells long work from
    short by it.

    Statements have one shape if they differ in numbers only. The table is
    bounded; the shape unused for longest is forgotten first.
*/
class RunTimeEstimates {
 public:
  /** Shapes kept. */
  static constexpr size_t kMaxFingerprints = 1024;
  /** Run time from which a run counts as long. */
  static constexpr Duration kLongRunTime = std::chrono::milliseconds(100);
  /** Share of long runs among the recent ones from which a shape is long. One
      straggler alone does not make its whole shape long. */
  static constexpr double kLongShareThreshold = 0.5;
  /** Weight of the newest run in that share. */
  static constexpr double kNewestRunWeight = 0.25;

  /** Classifies a statement.

      @param statement  its text
      @param declared   class declared by the caller
      @returns          kLong if declared or learned to be long
  */
  WorkClass Classify(std::string_view statement, WorkClass declared);

  /** Learns from a run.

      @param statement  its text
      @param ran        how long it ran
  */
  void Learn(std::string_view statement, Duration ran);

 private:
  struct Estimate {
    uint64_t shape = 0;
    double long_share = 0;
  };

  std::list<Estimate> recent_;
  std::unordered_map<uint64_t, std::list<Estimate>::iterator> estimates_;
};

/** @param statement  text of a statement
    @returns          a hash that leaves out digits */
uint64_t ComputeStatementFingerprint(std::string_view statement);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOL_ESTIMATES_RUN_TIME_ESTIMATES_H_
