#ifndef MAGNOLIAREEL_CORE_CORE_H_
#define MAGNOLIAREEL_CORE_CORE_H_

/** @file
    @brief Module core: value types, errors, clocks and concurrency primitives
    that all other modules use.

    Depends on the standard library only.

    Topics: ids/ (identifiers, terms, log positions), errors/ (error codes,
    findings), outcomes/ (outcomes of a request), time/ (clocks, times of
    changes), random/ (random sources), text/ (fields of messages, parts of
    URLs), concurrency/ (control loop, executors, snapshots).
*/
#include "core/concurrency/control_loop.h"
#include "core/concurrency/executor.h"
#include "core/concurrency/manual_executor.h"
#include "core/concurrency/snapshot.h"
#include "core/errors/error.h"
#include "core/errors/finding.h"
#include "core/errors/findings.h"
#include "core/ids/identifier.h"
#include "core/ids/log_point.h"
#include "core/ids/log_position.h"
#include "core/ids/term.h"
#include "core/outcomes/outcome.h"
#include "core/random/random_source.h"
#include "core/text/percent_encoding.h"
#include "core/text/text_fields.h"
#include "core/text/word.h"
#include "core/time/boot_clock.h"
#include "core/time/change_time.h"
#include "core/time/clock.h"
#include "core/time/steady_clock.h"
#include "core/time/virtual_clock.h"

#endif  // MAGNOLIAREEL_CORE_CORE_H_
