#ifndef MAGNOLIAREEL_HISTORY_HISTORY_H_
#define MAGNOLIAREEL_HISTORY_HISTORY_H_

/** @file
    @brief Module history: what concurrent callers did and saw, and the rules
    that it must satisfy.

    Depends on core.

    Topics: operations/ (the recorded operations), rules/ (the check).
*/
#include "history/operations/operation.h"
#include "history/operations/split_values.h"
#include "history/rules/check_history.h"

#endif  // MAGNOLIAREEL_HISTORY_HISTORY_H_
