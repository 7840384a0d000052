#ifndef MAGNOLIAREEL_POOL_POOL_H_
#define MAGNOLIAREEL_POOL_POOL_H_

/** @file
    @brief Module pool: decides which statement runs next on an endpoint and
    which connection it uses.

    Depends on core, messages and xxhash.

    Topics: scheduling/ (queues and slots), connections/ (connection pool),
    estimates/ (run times of statements).
*/
#include "pool/connections/connection_pool.h"
#include "pool/estimates/run_time_estimates.h"
#include "pool/scheduling/fair_queue.h"
#include "pool/scheduling/fifo_queue.h"
#include "pool/scheduling/queued_work.h"
#include "pool/scheduling/slot_scheduler.h"

#endif  // MAGNOLIAREEL_POOL_POOL_H_
