#ifndef MAGNOLIAREEL_SESSION_FRESHNESS_FRESHNESS_H_
#define MAGNOLIAREEL_SESSION_FRESHNESS_FRESHNESS_H_

#include <optional>
#include <span>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** Checks whether a log contains the point of an earlier write.

    A log contains no point of a term that its lineage lacks. Of a term that
    isn't its last, only positions up to the start of the next term can have
    survived, so a required position is capped there.

    @param lineage   terms that the log has passed through, oldest first
    @param position  last position of the log
    @param required  point of an acknowledged write; every log contains the
                     default value
    @returns         whether the log contains the point
*/
bool ContainsPoint(std::span<const TermStart> lineage,
                   LogPosition position,
                   LogPoint required);

/** An observed position of a primary: every write that the primary had made at
    `sent` is at or before `position`. `sent` is a time of the observer's
    clock. */
struct PrimaryObservation {
  /** Time at which the observer sent the query. */
  TimePoint sent;
  /** Position in the primary's answer. */
  LogPosition position;
};

/** Computes an upper bound of the age of a replica's data from observations of
    its primary.

    A replica that holds the observed position holds every write that the
    primary had made when the query was sent, so its data is no older than that
    time.

    @param observations  observations of the primary, oldest first
    @param position      position that the replica holds
    @param now           current time of the observer's clock
    @returns             the upper bound, or nullopt if the replica holds none
                         of the observed positions
*/
std::optional<Duration> BoundAge(
    std::span<const PrimaryObservation> observations,
    LogPosition position,
    TimePoint now);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_SESSION_FRESHNESS_FRESHNESS_H_
