#ifndef MAGNOLIAREEL_FAILOVER_FAILOVER_H_
#define MAGNOLIAREEL_FAILOVER_FAILOVER_H_

/** @file
    @brief Module failover: what is known of a group, when a write counts as
    acknowledged, and how a new primary is promoted.

    Depends on core, messages and session.

    Topics: groups/ (reports of a group's endpoints), acknowledgement/ (writes
    that wait for a majority), promotion/ (one change of primary), grants/
    (terms granted ahead), driver/ (when to promote), endpoint_link.h (the
    abilities required of an endpoint).
*/
#include "failover/acknowledgement/ack_tracker.h"
#include "failover/driver/group_driver.h"
#include "failover/endpoint_link.h"
#include "failover/grants/grant_cache.h"
#include "failover/grants/grant_store.h"
#include "failover/groups/group_state.h"
#include "failover/promotion/choose_successor.h"
#include "failover/promotion/promotion.h"

#endif  // MAGNOLIAREEL_FAILOVER_FAILOVER_H_
