#ifndef MAGNOLIAREEL_RELAY_FRESHNESS_FRESHNESS_BOUND_HISTORY_H_
#define MAGNOLIAREEL_RELAY_FRESHNESS_FRESHNESS_BOUND_HISTORY_H_

#include <deque>
#include <optional>

#include "core/core.h"
#include "relay/freshness/freshness_bound.h"

namespace magnoliareel {

/** Log points that cover every commit acknowledged before a known moment.

    A bound is the end of a log that a proven primary reported, with the time at
    which the question was sent: whatever was acknowledged before that time is
    at or below the point. A replica that holds the point may serve any read
    that tolerates missing what came after the time.

    @see DatabaseRoute::max_staleness
*/
class FreshnessBoundHistory {
 public:
  /** Notes what a proven primary reported.

      @param asked_at  when the question was sent
      @param point     the end of its log
  */
  void Record(TimePoint requested_at, LogPoint point);

  /** Notes what another VM has told.

      @param asked_at  when that VM was asked, by this VM's clock
      @param bound     what it told
  */
  void RecordFromPeer(TimePoint requested_at, const FreshnessBound& bound);

  /** @param not_before  the earliest moment whose commits must all be seen
      @returns           the lowest known point that covers them, or none
  */
  std::optional<LogPoint> Find(TimePoint not_before) const;

  /** @returns when the newest bound was asked for; the clock's epoch if none */
  TimePoint GetNewest() const;
  /** @returns the newest bound's point; valid if there is one */
  LogPoint GetNewestLogPoint() const;

 private:
  struct Bound {
    TimePoint requested_at;
    LogPoint point;
  };

  // By time; points never decrease.
  std::deque<Bound> bounds_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_FRESHNESS_FRESHNESS_BOUND_HISTORY_H_
