#ifndef MAGNOLIAREEL_OUTCOME_OUTCOME_H_
#define MAGNOLIAREEL_OUTCOME_OUTCOME_H_

/** @file
    @brief Module outcome: derives the outcome of a request and decides whether
    to retry it.

    Depends on core and messages.

    Topics: classify/ (outcome of a call and the next step), retries/ (retry
    budget and backoff).
*/
#include "outcome/classify/classify.h"
#include "outcome/retries/backoff.h"
#include "outcome/retries/retry_budget.h"

#endif  // MAGNOLIAREEL_OUTCOME_OUTCOME_H_
