#ifndef MAGNOLIAREEL_HISTORY_HISTORY_H_
#define MAGNOLIAREEL_HISTORY_HISTORY_H_

/** @file
    @brief Module history: recorded operations of concurrent callers, and a
    check of the consistency rules that they must satisfy.

    Depends on core.

    Topics: operations/ (recorded operations), rules/ (consistency check).
*/
#include "history/operations/operation.h"
#include "history/operations/split_values.h"
#include "history/rules/check_history.h"

#endif  // MAGNOLIAREEL_HISTORY_HISTORY_H_
