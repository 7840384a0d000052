#ifndef MAGNOLIAREEL_POOLER_POOLER_H_
#define MAGNOLIAREEL_POOLER_POOLER_H_

/** @file
    @brief Module pooler: the control state of a pooler process: its endpoints'
    queues and connections, open transactions, watched groups and their
    failover.

    Depends on core, messages, document, session, membership, pool, outcome and
    failover. Knows no encoding and no transport.

    Topics: endpoints/ (one endpoint's slots and connections), groups/ (watching
    a group), transactions/ (open transactions), policies/ (the product's
   behaviour and its baselines), core/ (requests from arrival to answer).
*/
#include "pooler/core/group_table.h"
#include "pooler/core/pooler_core.h"
#include "pooler/endpoints/endpoint_runner.h"
#include "pooler/groups/group_watcher.h"
#include "pooler/policies/pooler_policy.h"
#include "pooler/transactions/transaction_table.h"

#endif  // MAGNOLIAREEL_POOLER_POOLER_H_
