#ifndef MAGNOLIAREEL_ALLOWANCE_ALLOWANCE_H_
#define MAGNOLIAREEL_ALLOWANCE_ALLOWANCE_H_

/** @file
    @brief Module allowance: limits the operations of a team across all VMs with
    permits that are conserved, also while VMs are cut off from each other.

    Depends on core, coordination, directory, telemetry and xxhash. Sockets,
    encodings and the store are template parameters.

    Topics: budget/ (token buckets), slots/ (which VM issues which part of a
    budget), book/ (permits that this VM takes, lends and borrows).
*/
#include "allowance/book/allowance_book.h"
#include "allowance/book/permit_messages.h"
#include "allowance/book/team_permits.h"
#include "allowance/budget/team_budget.h"
#include "allowance/budget/token_bucket.h"
#include "allowance/slots/slot_assignment.h"
#include "allowance/slots/slot_rank.h"
#include "allowance/slots/slot_registry.h"

#endif  // MAGNOLIAREEL_ALLOWANCE_ALLOWANCE_H_
