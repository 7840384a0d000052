#ifndef MAGNOLIAREEL_ROUTING_READS_RANK_READ_ENDPOINTS_H_
#define MAGNOLIAREEL_ROUTING_READS_RANK_READ_ENDPOINTS_H_

#include <algorithm>
#include <optional>
#include <vector>

#include "core/core.h"
#include "document/document.h"
#include "routing/reads/route_hints.h"

namespace magnoliareel {

/** What a read needs of the endpoint that serves it. */
struct ReadNeeds {
  /** Point that the endpoint must hold. */
  LogPoint required;
  /** Greatest age of data accepted; none: any age. */
  std::optional<Duration> max_age;
  /** Site of the process that routes. */
  SiteId site;
  /** The group's primary, if known. */
  EndpointId primary;
  /** Endpoints known to hold the point. */
  std::vector<EndpointId> holders;
};

/** Orders the endpoints of a group for a read with a policy.

    @tparam P  decides
    @see ReplicasFirst, PrimaryOnly
*/
template <class P>
concept ReadPolicy = requires(const P& policy,
                              const GroupConfig& group,
                              const RouteHints& hints,
                              const ReadNeeds& needs,
                              ProcessRandom& random) {
  {
    policy.Rank(group, hints, needs, random)
    } -> std::same_as<std::vector<EndpointId>>;
};

/** Replicas that are known to hold the point, then the others, the nearer ones
    first; the primary last. */
class ReplicasFirst {
 public:
  /** @param group   the group to read from
      @param hints   what is known of its endpoints
      @param needs   what the read needs
      @param random  spreads reads over equal endpoints
      @returns       all endpoints, in the order in which to try them
  */
  std::vector<EndpointId> Rank(const GroupConfig& group,
                               const RouteHints& hints,
                               const ReadNeeds& needs,
                               ProcessRandom& random) const;
};

/** The primary alone; the baseline without replica reads. */
class PrimaryOnly {
 public:
  /** @see ReplicasFirst::Rank */
  std::vector<EndpointId> Rank(const GroupConfig& group,
                               const RouteHints& hints,
                               const ReadNeeds& needs,
                               ProcessRandom& random) const;
};

static_assert(ReadPolicy<ReplicasFirst> && ReadPolicy<PrimaryOnly>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ROUTING_READS_RANK_READ_ENDPOINTS_H_
