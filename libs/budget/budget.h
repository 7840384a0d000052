#ifndef MAGNOLIAREEL_BUDGET_BUDGET_H_
#define MAGNOLIAREEL_BUDGET_BUDGET_H_

/** @file
    @brief Module budget: decides how the memory and the descriptors of a
    process are shared by connections that are not under our control.

    Depends on core. Has no sockets and no clock.

    Topics: shares/ (parts of the memory limit), lines/ (which connections may
    buffer a long line), descriptors/ (which connections may be open).
*/
#include "budget/descriptors/descriptor_budget.h"
#include "budget/lines/line_budget.h"
#include "budget/shares/held_bytes.h"
#include "budget/shares/memory_shares.h"

#endif  // MAGNOLIAREEL_BUDGET_BUDGET_H_
