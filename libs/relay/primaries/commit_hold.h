#ifndef MAGNOLIAREEL_RELAY_PRIMARIES_COMMIT_HOLD_H_
#define MAGNOLIAREEL_RELAY_PRIMARIES_COMMIT_HOLD_H_

#include <optional>

#include "core/core.h"

namespace magnoliareel {

/** Decides which endpoint of a service may be sent writes and commits while the
    service's primary is being replaced.

    Until the promotion takes effect, the former primary may still lead or lead
    again, and what it acknowledges then is lost at the effect. Each statement
    that could commit there passes through a VM, also where no command reaches
    the endpoint.
*/
class CommitHold {
 public:
  /** A hold that has ended. */
  struct Ended {
    /** Empty if none was chosen. */
    EndpointId successor;
    TimePoint began;
  };

  /** Begins a hold, or continues the one that is in force.

      @param successor     the only endpoint that may be sent writes; empty if
                           none may
      @param newest_term   newest term of the service that is known
      @param now           the current time
      @returns             true if the endpoints that may be sent writes
                           changed; false too if the successor's proof ended a
                           hold for it within the last kCommitHoldPeriod
  */
  bool Begin(const EndpointId& successor, Term newest_term, TimePoint now);
  /** Ends the hold because the replacement was given up.

      @param now  the current time
      @returns    the hold; none if none was in force
  */
  std::optional<Ended> Release(TimePoint now);
  /** Ends the hold if its successor proves a term that is newer than all that
      were known when it began. A newer term of another endpoint may be the
      effect of an older order, which that of the successor will undo.

      @param endpoint  endpoint that accepted what only a primary accepts
      @param term      the term of its log
      @param now       the current time
      @returns         the hold if this has ended it
  */
  std::optional<Ended> RecordConfirmed(const EndpointId& endpoint,
                                       Term term,
                                       TimePoint now);
  /** @returns the hold if its period has ended since the last call */
  std::optional<Ended> TakeExpired(TimePoint now);

  /** @returns whether the hold is in force */
  bool IsInForce(TimePoint now) const { return hold_ && now < hold_->until; }
  /** @returns whether the endpoint must not be sent writes and commits */
  bool Excludes(const EndpointId& endpoint, TimePoint now) const {
    return IsInForce(now) && hold_->successor != endpoint;
  }
  /** @returns the only endpoint that may be sent writes; null if none may, or
               if no hold is in force */
  const EndpointId* GetSuccessor(TimePoint now) const {
    return IsInForce(now) && !hold_->successor.IsEmpty() ? &hold_->successor
                                                         : nullptr;
  }
  /** @returns the time at which the hold ends by itself; epoch without one */
  TimePoint GetEnd() const { return hold_ ? hold_->until : TimePoint(); }

 private:
  struct Hold {
    EndpointId successor;
    TimePoint began;
    TimePoint until;
    /** Newest term that was known when the successor was chosen. */
    Term newest_term;
  };
  struct Proof {
    EndpointId endpoint;
    TimePoint at;
  };

  std::optional<Ended> End();

  std::optional<Hold> hold_;
  /** The proof that ended the last hold; none if it ended otherwise. */
  std::optional<Proof> ending_proof_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_PRIMARIES_COMMIT_HOLD_H_
