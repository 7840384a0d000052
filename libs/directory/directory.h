#ifndef MAGNOLIAREEL_DIRECTORY_DIRECTORY_H_
#define MAGNOLIAREEL_DIRECTORY_DIRECTORY_H_

/** @file
    @brief Module directory: the databases that callers may name, the endpoints
    that serve them, and the versions in force.

    Depends on core, settings and libsodium.

    Topics: model/ (routes, teams, endpoints, their conditions and replication
   status, and the immutable snapshot that the traffic threads read), routes/
    (configuration in force), endpoints/ (registration, removal and expiry of
    endpoints), teams/ (digests of keys).
*/
#include "directory/endpoints/endpoint_registry.h"
#include "directory/model/endpoint_condition.h"
#include "directory/model/endpoint_entry.h"
#include "directory/model/endpoint_holders.h"
#include "directory/model/fleet_view.h"
#include "directory/model/replication_status.h"
#include "directory/model/route_table.h"
#include "directory/model/team_table.h"
#include "directory/routes/active_route_table.h"
#include "directory/teams/key_digest.h"

#endif  // MAGNOLIAREEL_DIRECTORY_DIRECTORY_H_
