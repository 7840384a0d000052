#ifndef MAGNOLIAREEL_OUTCOME_OUTCOME_H_
#define MAGNOLIAREEL_OUTCOME_OUTCOME_H_

/** @file
    @brief Module outcome: what became of a request, and whether it may be
    tried again.

    Depends on core and messages.

    Topics: classify/ (from a call's end to an outcome), retries/ (budget and
    backoff).
*/
#include "outcome/classify/classify.h"
#include "outcome/retries/backoff.h"
#include "outcome/retries/retry_budget.h"

#endif  // MAGNOLIAREEL_OUTCOME_OUTCOME_H_
