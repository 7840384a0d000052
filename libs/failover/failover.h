#ifndef MAGNOLIAREEL_FAILOVER_FAILOVER_H_
#define MAGNOLIAREEL_FAILOVER_FAILOVER_H_

/** @file
    @brief Module failover: tracks the state of an endpoint group, acknowledges
    writes that a majority holds, and promotes a new primary.

    Depends on core, messages and session.

    Topics: groups/ (state of a group as its endpoints report it),
    acknowledgement/ (writes that wait for a majority), promotion/ (one attempt
    to promote a primary), grants/ (terms granted in advance), driver/ (decides
    when to promote), endpoint_link.h (concept of a link that calls endpoints).
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
