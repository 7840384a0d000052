#ifndef MAGNOLIAREEL_ROUTING_ROUTING_H_
#define MAGNOLIAREEL_ROUTING_ROUTING_H_

/** @file
    @brief Module routing: chooses the group that holds a record and the
    endpoint that runs a statement.

    Depends on core, document and xxhash.

    Topics: groups/ (mapping of record keys to groups), reads/ (ranking of
    endpoints for reads, and the hints that it uses).
*/
#include "routing/groups/choose_group.h"
#include "routing/reads/rank_read_endpoints.h"
#include "routing/reads/route_hints.h"

#endif  // MAGNOLIAREEL_ROUTING_ROUTING_H_
