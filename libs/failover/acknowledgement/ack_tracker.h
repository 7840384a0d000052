#ifndef MAGNOLIAREEL_FAILOVER_ACKNOWLEDGEMENT_ACK_TRACKER_H_
#define MAGNOLIAREEL_FAILOVER_ACKNOWLEDGEMENT_ACK_TRACKER_H_

#include <functional>
#include <map>
#include <vector>

#include "core/core.h"
#include "failover/groups/group_state.h"

namespace magnoliareel {

/** Delays the acknowledgement of each write until a majority of the group
    holds it.

    @see GroupState::IsHeldByMajority
*/
class AckTracker {
 public:
  /** Receives true once a majority holds the write, false if the wait was
      abandoned. */
  using Completion = std::function<void(bool)>;

  /** Adds a write that has run.

      @param point     log point of the write
      @param term      term in which the write ran or was found recorded
      @param now       current time
      @param deadline  time at which the wait is abandoned
      @param done      called once, from Update(), Expire() or AbandonBefore()
  */
  void Add(LogPoint point,
           Term term,
           TimePoint now,
           TimePoint deadline,
           Completion done);

  /** Acknowledges the writes that a majority holds.

      @param state  current state of the group
  */
  void Update(const GroupState& state);

  /** Abandons the writes whose deadline has passed.

      @param now  current time
  */
  void Expire(TimePoint now);

  /** Abandons the writes that ran in earlier terms. Once a term has ended, only
      the recorded outcome of a write tells whether it survived.

      @param term  the current term
  */
  void AbandonBefore(Term term);

  /** @returns the number of pending writes */
  size_t CountPending() const { return pending_.size(); }
  /** @param now  current time
      @returns    waiting time of the oldest pending write; 0 if there is none
  */
  Duration GetOldestAge(TimePoint now) const;

 private:
  struct PendingWrite {
    Term term;
    TimePoint added;
    TimePoint deadline;
    Completion done;
  };

  template <class Condition>
  void FinishIf(bool is_acknowledged, Condition condition);

  std::multimap<LogPoint, PendingWrite> pending_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_FAILOVER_ACKNOWLEDGEMENT_ACK_TRACKER_H_
