#ifndef MAGNOLIAREEL_POOLER_POOLER_H_
#define MAGNOLIAREEL_POOLER_POOLER_H_

/** @file
    @brief Module pooler: control state of a pooler process, which queues
    statements for endpoints, pools connections, holds open transactions, and
    monitors endpoint groups and their failover.

    Depends on core, messages, document, session, membership, pool, outcome and
    failover. Independent of message encodings and of transports.

    Topics: endpoints/ (slots and connections of one endpoint), groups/ (state
    and failover of one group), transactions/ (open transactions), policies/
    (the product's behaviour and its baselines), core/ (requests from arrival to
    answer).
*/
#include "pooler/core/group_table.h"
#include "pooler/core/pooler_core.h"
#include "pooler/endpoints/endpoint_runner.h"
#include "pooler/groups/group_watcher.h"
#include "pooler/policies/pooler_policy.h"
#include "pooler/transactions/transaction_table.h"

#endif  // MAGNOLIAREEL_POOLER_POOLER_H_
