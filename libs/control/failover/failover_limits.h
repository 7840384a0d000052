#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_LIMITS_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_LIMITS_H_

#include <cstddef>

#include "core/core.h"

namespace magnoliareel {

/** Interval between reviews while a primary is suspected or must be
    replaced. */
inline constexpr Duration kFailoverReviewInterval =
    std::chrono::milliseconds(100);
/** Delay between two replacement attempts for one service. */
inline constexpr Duration kReplacementRetryInterval =
    std::chrono::milliseconds(300);
/** Resumed replicas have this time to catch up before the next attempt may
    pause them again. */
inline constexpr Duration kReplicaCatchUpDelay = std::chrono::milliseconds(800);
/** A promotion that has not taken effect within this time is tried again.
    Twice the slowest promotion that the deployments specify, 1 s. */
inline constexpr Duration kPromotionTimeout = std::chrono::milliseconds(2000);
/** Time for which a promotion whose answer was lost may still be executed: up
    to 12 s (platform documentation), and the time that a refusal of it takes.
 */
inline constexpr Duration kLostPromotionRetention = std::chrono::seconds(14);
/** Time for which heartbeats announce a promotion. */
inline constexpr Duration kPromotionNoticeRetention = std::chrono::seconds(4);
/** Delay after which other VMs are told again that commits are to be held. */
inline constexpr Duration kHoldNoticeRepeatDelay =
    std::chrono::milliseconds(100);
/** Maximum number of services whose holds are followed before the first
    configuration. */
inline constexpr size_t kMaxUnconfiguredHolds = 64;
/** No duty is claimed earlier than this after the start. It is longer than
    kHeartbeatPeriod, so that a VM that has just started knows the holders. */
inline constexpr Duration kFirstClaimDelay = std::chrono::milliseconds(1300);
/** Duties without a holder are claimed this long after the start. By then, VMs
    that start together have exchanged heartbeats. */
inline constexpr Duration kUnheldDutyClaimDelay = std::chrono::seconds(3);
/** Delay between two audits of a service's departed replicas. */
inline constexpr Duration kDepartureAuditInterval =
    std::chrono::milliseconds(200);
/** Delay after a failed write of a GroupRecord. */
inline constexpr Duration kGroupSaveRetryInterval =
    std::chrono::milliseconds(700);
/** A row that was read longer ago does not show who holds a duty: the VM may
    have stood still since. */
inline constexpr Duration kMaxDutyRowAge = std::chrono::milliseconds(500);
/** Delay between two claims of one duty. */
inline constexpr Duration kClaimRetryInterval = std::chrono::milliseconds(700);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_LIMITS_H_
