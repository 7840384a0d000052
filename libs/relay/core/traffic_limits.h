#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_LIMITS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_LIMITS_H_

#include <cstdint>

#include "core/core.h"

namespace magnoliareel {

/** Longest wait for a new connection: several round trips between regions and
    a busy endpoint's handshake. */
inline constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
/** A statement that has no answer for this long is looked at: its endpoint may
    be silent, its answer lost. Above the run time of nearly all statements. */
inline constexpr Duration kSlowStatementThreshold =
    std::chrono::milliseconds(350);
/** A connection whose abandoned statement is not answered within this time has
    lost the answer. */
inline constexpr Duration kAbandonedTimeout = std::chrono::milliseconds(2000);
/** Pause before a replica that was behind is asked again: about one
    replication delay between regions. */
inline constexpr Duration kReplicaBehindBackoff = std::chrono::milliseconds(25);
/** Pause before a statement that found all slots taken is sent again. */
inline constexpr Duration kBusyBackoff = std::chrono::milliseconds(20);
/** Pause before a statement goes to an endpoint that does not lead yet: several
    within the 300 ms that the fastest promotion takes. */
inline constexpr Duration kNotPrimaryBackoff = std::chrono::milliseconds(40);
/** Most times that one statement is sent; later attempts would mostly add load
    to endpoints that refuse. */
inline constexpr uint32_t kMaxStatementAttempts = 12;
/** How often services without a primary are looked at. */
inline constexpr Duration kPrimaryReviewInterval =
    std::chrono::milliseconds(50);
/** Taken off a read's staleness limit, for the time between the caller's first
    byte and its reading here, and for rounding. */
inline constexpr Duration kStalenessMargin = std::chrono::milliseconds(30);
/** A bound is asked for when the newest is older than this part of a route's
    staleness limit, and nothing else has renewed it. */
inline constexpr int kBoundRenewalDivisor = 2;
/** Longest wait of a read for a first bound, before it goes to the primary
    itself. Only the primary can give one, so a read gains nothing by queueing
    there earlier; after a restart it would only overload it. */
inline constexpr Duration kBoundTimeout = std::chrono::milliseconds(600);
/** Longest wait for another VM's answer about a bound, and least time between
    two questions: that VM may have to connect to a primary in another region
    first, four trips of 40 ms. */
inline constexpr Duration kPeerBoundTimeout = std::chrono::milliseconds(200);
/** A connection that was not used for this long is ended, but for the last one
    to an endpoint unless VMs outnumber its connections: endpoints hold the
    connections of VMs that lost power for 3 s more, and need room for those
    that come back. */
inline constexpr Duration kIdleConnectionTimeout =
    std::chrono::milliseconds(1500);
/** Connections to an endpoint while VMs outnumber its connections; the second
    one serves while the first one holds a transaction and ends at rest. */
inline constexpr uint32_t kMaxScarceConnections = 2;
/** Unused connections are looked for no more often than this: a handshake's
    time, below which an end saves nothing. */
inline constexpr Duration kMinIdleCheckInterval = std::chrono::milliseconds(20);
/** Connections that are opened to an endpoint at a time: each takes a slot for
    the time of its handshake. */
inline constexpr size_t kMaxOpeningConnections = 2;
/** Part of the latency objective that waiting nearby may cost before a read
    goes to another region: traffic between regions is dear. */
inline constexpr int kRemotePenaltyDivisor = 5;
/** Cost of another site of the region, in waiting time. */
inline constexpr Duration kRegionPenalty = std::chrono::milliseconds(10);
/** Reads prefer a replica that is as near as the primary, in waiting time. */
inline constexpr Duration kPrimaryReadPenalty = std::chrono::milliseconds(10);
/** Reads avoid a replica that was behind a moment ago, in waiting time. */
inline constexpr Duration kBehindPenalty = std::chrono::milliseconds(150);
/** Reads avoid an endpoint without a free connection, in waiting time: about
    what a way to another region costs, as those who need this one wait. */
inline constexpr Duration kConnectionLimitPenalty =
    std::chrono::milliseconds(150);
/** Reads avoid an endpoint that failed a moment ago, in waiting time. */
inline constexpr Duration kFailedEndpointPenalty = std::chrono::seconds(5);
/** Connections of an endpoint that are left to probes and to VMs that have
    just come. */
inline constexpr uint32_t kReservedConnections = 2;
/** Most connections that one VM opens to an endpoint whatever its share. */
inline constexpr uint32_t kMaxConnectionsPerEndpoint = 8;
/** How often sessions at rest are ended while the process stops. */
inline constexpr Duration kDrainInterval = std::chrono::milliseconds(100);
/** Sessions at rest are ended over this time while the process stops, so that
    they do not all come to the other VMs at once. */
inline constexpr Duration kDrainSpreadPeriod = std::chrono::milliseconds(1500);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_LIMITS_H_
