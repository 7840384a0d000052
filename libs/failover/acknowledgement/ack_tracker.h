#ifndef MAGNOLIAREEL_FAILOVER_ACKNOWLEDGEMENT_ACK_TRACKER_H_
#define MAGNOLIAREEL_FAILOVER_ACKNOWLEDGEMENT_ACK_TRACKER_H_

#include <functional>
#include <map>
#include <vector>

#include "core/core.h"
#include "failover/groups/group_state.h"

namespace magnoliareel {

/** Holds back the acknowledgement of writes until a majority of the group
    holds them.

    @see GroupState::IsHeldByMajority
*/
class AckTracker {
 public:
  /** Receives true once the write is acknowledged, false if it is given up. */
  using Completion = std::function<void(bool)>;

  /** Adds a write that has run.

      @param point     its point
      @param ran_in    term in which it ran, or was found recorded
      @param now       the present
      @param deadline  when to give up
      @param done      called once, from Update(), Expire() or AbandonBefore()
  */
  void Add(LogPoint point,
           Term ran_in,
           TimePoint now,
           TimePoint deadline,
           Completion done);

  /** Acknowledges what a majority holds. @param state  the group's reports */
  void Update(const GroupState& state);

  /** Gives up writes past their deadline. @param now  the present */
  void Expire(TimePoint now);

  /** Gives up writes that ran in terms that have ended: whether they survived
      is known only from their recorded outcome.

      @param term  the term that is now in office
  */
  void AbandonBefore(Term term);

  /** @returns writes that wait */
  size_t CountWaiting() const { return waiting_.size(); }
  /** @param now  the present
      @returns    how long the oldest waiting write has waited; 0 if none waits
  */
  Duration GetOldestAge(TimePoint now) const;

 private:
  struct Waiting {
    Term ran_in;
    TimePoint added;
    TimePoint deadline;
    Completion done;
  };

  template <class Condition>
  void FinishIf(bool is_acknowledged, Condition condition);

  std::multimap<LogPoint, Waiting> waiting_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_FAILOVER_ACKNOWLEDGEMENT_ACK_TRACKER_H_
