#ifndef MAGNOLIAREEL_ROUTING_ROUTING_H_
#define MAGNOLIAREEL_ROUTING_ROUTING_H_

/** @file
    @brief Module routing: chooses the group of a record and the endpoint of a
    statement.

    Depends on core, document and xxhash.

    Topics: groups/ (record key to group), reads/ (order in which endpoints are
    tried, and what was learned about them).
*/
#include "routing/groups/choose_group.h"
#include "routing/reads/rank_read_endpoints.h"
#include "routing/reads/route_hints.h"

#endif  // MAGNOLIAREEL_ROUTING_ROUTING_H_
