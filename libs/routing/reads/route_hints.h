#ifndef MAGNOLIAREEL_ROUTING_READS_ROUTE_HINTS_H_
#define MAGNOLIAREEL_ROUTING_READS_ROUTE_HINTS_H_

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** A group's primary, as last heard. */
struct PrimaryHint {
  /** The primary. */
  EndpointId endpoint;
  /** Its term. */
  Term term;

  auto operator<=>(const PrimaryHint&) const = default;
};

/** What a process has learned from answers about primaries and positions.

    A hint saves a detour and is never relied upon: whoever acts on it checks.
*/
class RouteHints {
 public:
  /** @param group  a group  @returns its primary, if one was heard of */
  std::optional<PrimaryHint> GetPrimary(const GroupId& group) const;

  /** @param endpoint  an endpoint
      @returns         a point that it is known to hold; the log's beginning if
                       none is known */
  LogPoint GetKnownPoint(const EndpointId& endpoint) const;

  /** Notes a primary; one of an older term changes nothing.

      @param group  the group
      @param hint   its primary
      @returns      true if something changed
  */
  bool RecordPrimary(const GroupId& group, const PrimaryHint& hint);

  /** Notes that endpoints hold a point; an older point changes nothing.

      @param endpoints  the holders
      @param point      what they hold
      @returns          true if something changed
  */
  bool RecordHolders(std::span<const EndpointId> endpoints, LogPoint point);

 private:
  std::unordered_map<GroupId, PrimaryHint> primaries_;
  std::unordered_map<EndpointId, LogPoint> points_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ROUTING_READS_ROUTE_HINTS_H_
