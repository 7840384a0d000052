#ifndef MAGNOLIAREEL_ROUTING_READS_ROUTE_HINTS_H_
#define MAGNOLIAREEL_ROUTING_READS_ROUTE_HINTS_H_

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** The last known primary of a group. */
struct PrimaryHint {
  /** The primary. */
  EndpointId endpoint;
  /** Term in which it is the primary. */
  Term term;

  auto operator<=>(const PrimaryHint&) const = default;
};

/** Primaries and log positions that a process has learned from answers.

    Hints save redirects and may be outdated, so correctness must not depend on
    them: the pooler or endpoint that receives a request checks it again.
*/
class RouteHints {
 public:
  /** @param group  a group
      @returns      its last known primary, or nullopt if none is known
  */
  std::optional<PrimaryHint> GetPrimary(const GroupId& group) const;

  /** @param endpoint  an endpoint
      @returns         the highest point that it is known to hold; the beginning
                       of the log if none is known
  */
  LogPoint GetKnownPoint(const EndpointId& endpoint) const;

  /** Records a group's primary; ignores one of an older term.

      @param group  the group
      @param hint   its primary and the term
      @returns      whether the hints changed
  */
  bool RecordPrimary(const GroupId& group, const PrimaryHint& hint);

  /** Records that endpoints hold a point; ignores a point that is not higher
      than the known one.

      @param endpoints  endpoints that hold the point
      @param point      the point
      @returns          whether the hints changed
  */
  bool RecordHolders(std::span<const EndpointId> endpoints, LogPoint point);

 private:
  std::unordered_map<GroupId, PrimaryHint> primaries_;
  std::unordered_map<EndpointId, LogPoint> points_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ROUTING_READS_ROUTE_HINTS_H_
