#ifndef MAGNOLIAREEL_COORDINATION_COORDINATION_H_
#define MAGNOLIAREEL_COORDINATION_COORDINATION_H_

/** @file
    @brief Module coordination: agreement between VMs through rows of a shared
    store, and tracking of its changes.

    Depends on core and telemetry. It contains no encoding; the store and its
   rows are template parameters.

    Topics: rows/ (concept of the store, listing of a table), watches/
    (following a table, and when to check that no change is missing), duties/
   (which VM may order a promotion, and what it has to know).
*/
#include "coordination/duties/duty_claims.h"
#include "coordination/duties/duty_row.h"
#include "coordination/rows/list_all_rows.h"
#include "coordination/rows/row_store.h"
#include "coordination/watches/feed_check_delay.h"
#include "coordination/watches/table_watch.h"

#endif  // MAGNOLIAREEL_COORDINATION_COORDINATION_H_
