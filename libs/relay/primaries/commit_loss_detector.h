#ifndef MAGNOLIAREEL_RELAY_PRIMARIES_COMMIT_LOSS_DETECTOR_H_
#define MAGNOLIAREEL_RELAY_PRIMARIES_COMMIT_LOSS_DETECTOR_H_

#include <optional>

#include "core/core.h"

namespace magnoliareel {

/** Detects that the log of a service's new primary lacks a commit which this VM
    has answered with success.

    Positions count on over terms: the first record of a term follows the end of
    the log that was promoted. A point `T.N` of a new term therefore shows that
    the promoted log ended below position N, and a commit of an older term at N
    or above is lost.

    The end of the log in the answer to a commit may belong to a later commit
    that nobody has acknowledged. What counts is therefore the end that the
    endpoint had reported before the commit was sent to it: the commit lies
    above. A point of the new term that is seen late, or an end that was
    reported early, may hide a loss, but a loss that is reported is one.
*/
class CommitLossDetector {
 public:
  /** What is known when a new term is first seen, or when a loss is found. */
  struct Finding {
    /** First point of the new term that this VM has seen. */
    LogPoint first_seen;
    /** Highest end of the log in an answer to a commit of an older term; none
        if no commit was answered. */
    std::optional<LogPoint> last_answered;
    /** Lowest point that the highest of these commits can have; none if no end
        of the log was known before it. */
    std::optional<LogPoint> proven;
    /** Whether an answered commit is lost. */
    bool is_loss = false;
  };

  /** Records that a commit was answered with success.

      @param end_before  end of the endpoint's log, as known before the commit
                         was sent to it
      @param end         end of the log in the endpoint's answer
      @returns           a loss, if the log of a newer term's primary lacks the
                         commit; none if one was returned for that term already
  */
  std::optional<Finding> RecordAnswered(LogPoint end_before, LogPoint end);
  /** Records that an endpoint proved that it is the primary.

      @param point  the end of its log
      @returns      the finding if the term is newer than that of the former
                    primary; none for the first primary
  */
  std::optional<Finding> RecordPrimary(LogPoint point);
  /** @returns Finding::proven of the commits so far, without those that are
               known to be lost */
  const std::optional<LogPoint>& GetProven() const { return proven_; }

 private:
  /** First point that was seen of the newest term. */
  std::optional<LogPoint> first_seen_;
  std::optional<LogPoint> last_answered_;
  std::optional<LogPoint> proven_;
  /** A loss was returned for the newest term. */
  bool is_loss_reported_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_PRIMARIES_COMMIT_LOSS_DETECTOR_H_
