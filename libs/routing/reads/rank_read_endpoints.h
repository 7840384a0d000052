#ifndef MAGNOLIAREEL_ROUTING_READS_RANK_READ_ENDPOINTS_H_
#define MAGNOLIAREEL_ROUTING_READS_RANK_READ_ENDPOINTS_H_

#include <algorithm>
#include <optional>
#include <vector>

#include "core/core.h"
#include "document/document.h"
#include "routing/reads/route_hints.h"

namespace magnoliareel {

/** Requirements of a read on the endpoint that serves it, and facts used for
    the ranking. */
struct ReadRequirements {
  /** Point that the endpoint must hold. */
  LogPoint required;
  /** Maximum age of the data; nullopt accepts any age. */
  std::optional<Duration> max_age;
  /** Site of the process that routes the read; endpoints there are
      preferred. */
  SiteId site;
  /** The group's primary; empty if unknown. */
  EndpointId primary;
  /** Endpoints known to hold the required point. */
  std::vector<EndpointId> holders;
};

/** A policy that ranks the endpoints of a group for a read.

    @tparam P  the policy
    @see ReplicasFirst, PrimaryOnly
*/
template <class P>
concept ReadPolicy = requires(const P& policy,
                              const GroupConfig& group,
                              const RouteHints& hints,
                              const ReadRequirements& requirements,
                              ProcessRandom& random) {
  {
    policy.Rank(group, hints, requirements, random)
    } -> std::same_as<std::vector<EndpointId>>;
};

/** Ranks replicas that are known to hold the required point first, then the
    other replicas, and the primary last. Among equals, endpoints at the site of
    the router come first. If the maximum age is zero, the primary comes first.
*/
class ReplicasFirst {
 public:
  /** @param group         the group to read from
      @param hints         known positions of its endpoints
      @param requirements  requirements of the read
      @param random        random source that spreads reads over equally ranked
                           endpoints
      @returns             all endpoints, in the order in which to try them
  */
  std::vector<EndpointId> Rank(const GroupConfig& group,
                               const RouteHints& hints,
                               const ReadRequirements& requirements,
                               ProcessRandom& random) const;
};

/** Selects the primary only; baseline without replica reads. Selects the
    group's first endpoint if the primary is unknown. */
class PrimaryOnly {
 public:
  /** @see ReplicasFirst::Rank */
  std::vector<EndpointId> Rank(const GroupConfig& group,
                               const RouteHints& hints,
                               const ReadRequirements& requirements,
                               ProcessRandom& random) const;
};

static_assert(ReadPolicy<ReplicasFirst> && ReadPolicy<PrimaryOnly>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ROUTING_READS_RANK_READ_ENDPOINTS_H_
