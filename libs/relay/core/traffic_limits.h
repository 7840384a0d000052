#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_LIMITS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_LIMITS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/core.h"

namespace magnoliareel {

/** Timeout for opening a connection: several round trips between regions and
    the handshake of a busy endpoint. */
inline constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
/** Time without a reply after which a statement counts as slow: its endpoint
    may be down, or the reply may be lost. Above the run time of nearly all
    statements. */
inline constexpr Duration kSlowStatementThreshold =
    std::chrono::milliseconds(350);
/** Timeout for the reply to an abandoned statement, and for returning a
    connection to its pool. Later the reply counts as lost. */
inline constexpr Duration kAbandonedTimeout = std::chrono::milliseconds(2000);
/** Backoff before a read is retried at a replica that was behind: about one
    replication delay between regions. */
inline constexpr Duration kReplicaBehindBackoff = std::chrono::milliseconds(25);
/** Backoff before a statement is retried that found all slots in use. */
inline constexpr Duration kBusyBackoff = std::chrono::milliseconds(20);
/** Backoff before a statement is retried after "not primary". The fastest
    promotion takes 300 ms, which allows several retries. */
inline constexpr Duration kNotPrimaryBackoff = std::chrono::milliseconds(40);
/** Maximum attempts of one statement; further ones would mostly add load to
    endpoints that refuse it. */
inline constexpr uint32_t kMaxStatementAttempts = 12;
/** Time for which a hold of commits lasts unless it is repeated: twice the
    longest promotion, and longer than a heartbeat period with one lost
    datagram. */
inline constexpr Duration kCommitHoldPeriod = std::chrono::milliseconds(2000);
/** Interval at which services without a primary are checked. */
inline constexpr Duration kPrimaryReviewInterval =
    std::chrono::milliseconds(50);
/** Subtracted from a read's staleness bound, for the time between the caller's
    first byte and its decoding here, and for rounding. */
inline constexpr Duration kStalenessMargin = std::chrono::milliseconds(30);
/** A freshness bound is requested when the newest one is older than the route's
    staleness bound divided by this. */
inline constexpr int kBoundRenewalDivisor = 2;
/** Time for which a read waits for a freshness bound before it is sent to the
    primary. Only the primary can report a bound, so queueing there earlier
    gains nothing and would overload the primary after a restart. */
inline constexpr Duration kBoundTimeout = std::chrono::milliseconds(600);
/** Timeout for a bound from another VM, and the minimum time between two
    queries. That VM may have to connect to a primary in another region first,
    which takes four trips of 40 ms. */
inline constexpr Duration kPeerBoundTimeout = std::chrono::milliseconds(200);
/** A connection that is idle for this long is closed. The last connection to an
    endpoint is kept unless VMs outnumber the endpoint's connections. Endpoints
    keep the connections of VMs that lost power for another 3 s, and need room
    for the VMs that restart. */
inline constexpr Duration kIdleConnectionTimeout =
    std::chrono::milliseconds(1500);
/** The same where connections belong to teams: most teams come back within this
    time, and a new connection occupies a slot. An idle one is closed earlier if
    another team needs its place. */
inline constexpr Duration kIdleTeamConnectionTimeout = std::chrono::seconds(10);
/** A team that has a connection takes the place of another team's idle one only
    if that was not used for this long. Its own connections come back sooner,
   and teams that take each other's places spend the slots on handshakes. */
inline constexpr Duration kMinIdleBeforeEviction = std::chrono::seconds(1);
/** Part of an endpoint's connections that holders use for teams. The rest is
    for VMs that restart, whose old connections the endpoint keeps for 3 s. */
inline constexpr double kTeamConnectionsFraction = 0.75;
/** A statement whose team has no connection takes the only one of another team
    after this time, an eighth of a usual objective. */
inline constexpr Duration kMaxWaitForOtherTeams =
    std::chrono::milliseconds(100);
/** Shortest time between two such changes at an endpoint: with handshakes of
    12 ms, the 4 holders together occupy one slot with them. */
inline constexpr Duration kMinRotationInterval = std::chrono::milliseconds(50);
/** Maximum connections to an endpoint while VMs outnumber its connections. The
    second one serves statements while the first one is reserved by a
    transaction, and is closed when idle. */
inline constexpr uint32_t kMaxScarceConnections = 2;
/** Minimum interval between checks for idle connections: the time of a
    handshake. Closing a connection for a shorter time saves nothing. */
inline constexpr Duration kMinIdleCheckInterval = std::chrono::milliseconds(20);
/** Maximum connections to an endpoint that are opened at a time: each occupies
    a slot during its handshake. */
inline constexpr size_t kMaxOpeningConnections = 2;
/** The latency objective divided by this is the penalty of an endpoint in
    another region: traffic between regions is expensive, so reads wait that
    much longer for a near endpoint. */
inline constexpr int kRemotePenaltyDivisor = 5;
/** Penalty of an endpoint at another site of the region, as waiting time. */
inline constexpr Duration kRegionPenalty = std::chrono::milliseconds(10);
/** Penalty of the primary, as waiting time: reads prefer a replica that is as
    near. */
inline constexpr Duration kPrimaryReadPenalty = std::chrono::milliseconds(10);
/** Penalty of a replica that was recently behind, as waiting time. */
inline constexpr Duration kBehindPenalty = std::chrono::milliseconds(150);
/** Penalty of an endpoint at its connection limit, as waiting time: about the
    cost of another region, because the statements that need this endpoint
    wait. */
inline constexpr Duration kConnectionLimitPenalty =
    std::chrono::milliseconds(150);
/** Penalty of an endpoint that recently failed or refused the statement, as
    waiting time. */
inline constexpr Duration kFailedEndpointPenalty = std::chrono::seconds(5);
/** Maximum connections of one VM to an endpoint, however large its share. */
inline constexpr uint32_t kMaxConnectionsPerEndpoint = 8;
/** Maximum connections of a holder to an endpoint. All holders together use at
    most half of an endpoint's connections: while VMs join or leave, the holders
    before and after the change have connections. */
inline constexpr uint32_t kMaxHolderConnections = 16;
/** Maximum sessions in which one VM forwards statements to an endpoint: each
    carries one statement or transaction at a time. */
inline constexpr uint32_t kMaxForwardedSessions = 8;
/** Number of these sessions that are kept when they are idle. */
inline constexpr uint32_t kMaxIdleForwardedSessions = 2;
/** A holder rejects a statement this long before its deadline, so that the VM
    that forwarded it learns in time that it did not run: a trip between
    regions. */
inline constexpr Duration kForwardingMargin = std::chrono::milliseconds(50);
/** Time within which a holder gives a sign of life: several trips between
    regions. */
inline constexpr Duration kHolderPingTimeout = std::chrono::milliseconds(300);
/** Time after which a VM that is no longer used as a holder is forgotten. */
inline constexpr Duration kHolderStateRetention = std::chrono::minutes(1);
/** Initial and longest time for which a holder that failed is not used. The
    longest one covers the time until a lost VM is no longer listed. */
inline constexpr Duration kInitialHolderBackoff =
    std::chrono::milliseconds(400);
inline constexpr Duration kMaxHolderBackoff = std::chrono::seconds(3);
/** Maximum text that a session holds in values and prepared statements, in
    bytes. */
inline constexpr size_t kMaxSessionTextBytes = 16 * 1024 * 1024;
/** Maximum part of it that values are, in bytes: each connection that the
   session uses holds a copy of them. Enough for one value of a whole message.
 */
inline constexpr size_t kMaxSessionValueBytes = 2 * 1024 * 1024;
/** What a value or prepared statement counts besides its text: about the memory
    of its entry. */
inline constexpr size_t kSessionEntryBytes = 200;
/** @param name  name of a value or prepared statement
    @param text  the value or the shape
    @returns     what it counts, in bytes */
constexpr size_t CountHeldBytes(std::string_view name, std::string_view text) {
  return kSessionEntryBytes + name.size() + text.size();
}

/** A session that holds at most this much in values and prepared statements is
    never refused for the sake of others. */
inline constexpr size_t kReservedSessionTextBytes = 16 * 1024;
/** A caller that has sent more than this ahead of its answers is not read until
    they were handled. Several ordinary messages. */
inline constexpr size_t kMaxBacklogBytes = 4 * 1024;
/** Buffers that are larger are freed when they are empty. Smaller ones are
   kept, so that ordinary statements allocate no memory. */
inline constexpr size_t kMaxRetainedBytes = 4 * 1024;
/** Empties a buffer, and frees it if it is large. */
inline void EmptyBuffer(std::string& buffer) {
  buffer.clear();
  if (buffer.capacity() > kMaxRetainedBytes) {
    buffer.shrink_to_fit();
  }
}

/** More than an encoding adds to the texts in a message, in bytes. */
inline constexpr size_t kMaxEncodingBytes = 1024;
/** What callers are told that a process refuses while it stops. */
inline constexpr std::string_view kStoppingReason = "the process is stopping";
/** Interval at which idle sessions are closed during a drain. */
inline constexpr Duration kDrainInterval = std::chrono::milliseconds(100);
/** Idle sessions are closed over this period during a drain, so that they don't
    all reconnect to the other VMs at once. */
inline constexpr Duration kDrainSpreadPeriod = std::chrono::milliseconds(1500);

/** The end of an endpoint's drain period in which it gets no new statements:
    covers the delay of the directory and statements that are under way. */
inline constexpr Duration kDrainingUseMargin = std::chrono::seconds(2);

/** An operation waits for a permit for this part of its route's objective at
    most, so that a caller that is refused can still try again in time. */
inline constexpr int kPermitWaitDivisor = 4;

/** @param drain_period  time for which an endpoint serves after it has reported
                        that it is draining
    @returns            the part of it in which a primary without a successor
                        gets new statements */
constexpr Duration GetMaxDrainingUse(Duration drain_period) {
  return std::max(drain_period / 2, drain_period - kDrainingUseMargin);
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_LIMITS_H_
