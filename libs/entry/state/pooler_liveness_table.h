#ifndef MAGNOLIAREEL_ENTRY_STATE_POOLER_LIVENESS_TABLE_H_
#define MAGNOLIAREEL_ENTRY_STATE_POOLER_LIVENESS_TABLE_H_

#include <mutex>
#include <string>
#include <unordered_map>

#include "core/core.h"

namespace magnoliareel {

/** Records when each pooler last answered, and which poolers are suspected to
    have crashed or frozen. Thread-safe.

    @see AttemptProbe
*/
class PoolerLivenessTable {
 public:
  /** Time for which requests avoid a suspected pooler while another owner of
      the endpoint is available. */
  static constexpr Duration kSuspicionPeriod = std::chrono::seconds(3);

  /** Records an answer of a pooler and clears its suspicion.

      @param address  address of the pooler
      @param now      current time
  */
  void RecordAnswer(const std::string& address, TimePoint now);
  /** Records that a ping of a pooler failed; the pooler is suspected for
      kSuspicionPeriod.

      @param address  address of the pooler
      @param now      current time
  */
  void RecordMissedPing(const std::string& address, TimePoint now);

  /** @param address  address of a pooler
      @param now      current time
      @returns        time since its last answer; Duration::max() if it never
                      answered
  */
  Duration GetTimeSinceLastAnswer(const std::string& address,
                                  TimePoint now) const;
  /** @param address  address of a pooler
      @param now      current time
      @returns        whether the pooler is suspected
  */
  bool IsSuspected(const std::string& address, TimePoint now) const;

 private:
  struct Entry {
    TimePoint last_answer = TimePoint::min();
    TimePoint suspected_until = TimePoint::min();
  };

  mutable std::mutex mutex_;
  std::unordered_map<std::string, Entry> entries_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_STATE_POOLER_LIVENESS_TABLE_H_
