#ifndef MAGNOLIAREEL_RELAY_FRESHNESS_FRESHNESS_BOUND_HISTORY_H_
#define MAGNOLIAREEL_RELAY_FRESHNESS_FRESHNESS_BOUND_HISTORY_H_

#include <deque>
#include <optional>

#include "core/core.h"
#include "relay/freshness/freshness_bound.h"

namespace magnoliareel {

/** Log points that cover every commit acknowledged before a known time.

    A bound is the end of the log that a confirmed primary reported, with the
    time at which the request was sent: every commit acknowledged before that
    time is at or below the point. A replica that has applied the point may
    serve any read that tolerates missing later commits.

    @see DatabaseRoute::max_staleness
*/
class FreshnessBoundHistory {
 public:
  /** Records a bound that a confirmed primary reported.

      @param requested_at  time at which the request was sent
      @param point         the end of its log
  */
  void Record(TimePoint requested_at, LogPoint point);

  /** Records a bound that another VM sent.

      @param requested_at  time at which this VM sent the query, by its own
                           clock
      @param bound         the bound that the other VM sent
  */
  void RecordFromPeer(TimePoint requested_at, const FreshnessBound& bound);

  /** @param not_before  time before which all commits must be visible
      @returns           the lowest known point that covers them, or none
  */
  std::optional<LogPoint> Find(TimePoint not_before) const;

  /** @returns the time at which the newest bound was requested; the clock's
               epoch if none */
  TimePoint GetNewestRequestTime() const;
  /** @returns the log point of the newest bound; valid if there is one */
  LogPoint GetNewestLogPoint() const;

 private:
  struct Bound {
    TimePoint requested_at;
    LogPoint point;
  };

  // Ordered by time; the points never decrease.
  std::deque<Bound> bounds_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_FRESHNESS_FRESHNESS_BOUND_HISTORY_H_
