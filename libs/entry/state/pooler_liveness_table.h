#ifndef MAGNOLIAREEL_ENTRY_STATE_POOLER_LIVENESS_TABLE_H_
#define MAGNOLIAREEL_ENTRY_STATE_POOLER_LIVENESS_TABLE_H_

#include <mutex>
#include <string>
#include <unordered_map>

#include "core/core.h"

namespace magnoliareel {

/** When each pooler was last heard from, and which ones are suspected to be
    dead or frozen. Used from several threads.

    @see AttemptProbe
*/
class PoolerLivenessTable {
 public:
  /** Time for which a suspected pooler is asked last. */
  static constexpr Duration kSuspicionPeriod = std::chrono::seconds(3);

  /** Notes an answer; ends a suspicion. @param address  of the pooler
      @param now  the present */
  void NoteAnswer(const std::string& address, TimePoint now);
  /** Notes that a pooler did not answer a ping. @param address  of the pooler
      @param now  the present */
  void RecordMissedPing(const std::string& address, TimePoint now);

  /** @param address  of a pooler  @param now  the present
      @returns        time since its last answer; the greatest if there was none
  */
  Duration GetTimeSinceLastAnswer(const std::string& address,
                                  TimePoint now) const;
  /** @param address  of a pooler  @param now  the present
      @returns        whether it is suspected */
  bool IsSuspected(const std::string& address, TimePoint now) const;

 private:
  struct Contact {
    TimePoint answered = TimePoint::min();
    TimePoint suspected_until = TimePoint::min();
  };

  mutable std::mutex mutex_;
  std::unordered_map<std::string, Contact> contacts_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_STATE_POOLER_LIVENESS_TABLE_H_
