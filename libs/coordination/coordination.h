#ifndef MAGNOLIAREEL_COORDINATION_COORDINATION_H_
#define MAGNOLIAREEL_COORDINATION_COORDINATION_H_

/** @file
    @brief Module coordination: what VMs agree on through rows of a shared
   store, and how they follow its changes.

    Depends on core and telemetry. It knows no encoding: the store is a template
    parameter.

    Topics: rows/ (the store's concept), watches/ (following a table), duties/
    (who may order a promotion).
*/
#include "coordination/duties/duty_claims.h"
#include "coordination/rows/row_store.h"
#include "coordination/watches/table_watch.h"

#endif  // MAGNOLIAREEL_COORDINATION_COORDINATION_H_
