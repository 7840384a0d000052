#ifndef MAGNOLIAREEL_DIRECTORY_DIRECTORY_H_
#define MAGNOLIAREEL_DIRECTORY_DIRECTORY_H_

/** @file
    @brief Module directory: which databases callers may name, which endpoints
    serve them, and which version of that knowledge is in force.

    Depends on core and settings.

    Topics: model/ (routes, endpoints, the immutable snapshot that traffic
    reads), routes/ (versions of the configuration), endpoints/ (endpoints that
    come, leave and lapse).
*/
#include "directory/endpoints/endpoint_registry.h"
#include "directory/model/endpoint_condition.h"
#include "directory/model/endpoint_entry.h"
#include "directory/model/fleet_view.h"
#include "directory/model/replication_status.h"
#include "directory/model/route_table.h"
#include "directory/routes/active_route_table.h"

#endif  // MAGNOLIAREEL_DIRECTORY_DIRECTORY_H_
