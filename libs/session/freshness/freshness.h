#ifndef MAGNOLIAREEL_SESSION_FRESHNESS_FRESHNESS_H_
#define MAGNOLIAREEL_SESSION_FRESHNESS_FRESHNESS_H_

#include <optional>
#include <span>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** Decides whether a log contains a point of an earlier write.

    A term that the log has not passed through is not contained. Of an older
    term, only positions up to the start of the next term can have survived.

    @param lineage   terms that the log has passed through, oldest first
    @param position  last position of the log
    @param required  point of an acknowledged write; the default value is
                     contained in every log
    @returns         true if the log contains the point
*/
bool ContainsPoint(std::span<const TermStart> lineage,
                   LogPosition position,
                   LogPoint required);

/** A statement about a primary's past: at `sent` it had written no more than
    `position`. Both times are local to the observer. */
struct PrimaryObservation {
  /** When the question was sent. */
  TimePoint sent;
  /** Position in the answer. */
  LogPosition position;
};

/** Bounds the age of a replica's data from observations of its primary.

    A replica that holds `position` held every write that the primary had made
    when the question was sent, so its data is no older than that moment.

    @param observations  of the primary, oldest first
    @param position      position that the replica holds
    @param now           the present moment
    @returns             an upper bound, or nothing if no observation allows one
*/
std::optional<Duration> BoundAge(
    std::span<const PrimaryObservation> observations,
    LogPosition position,
    TimePoint now);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_SESSION_FRESHNESS_FRESHNESS_H_
