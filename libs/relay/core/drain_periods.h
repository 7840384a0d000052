#ifndef MAGNOLIAREEL_RELAY_CORE_DRAIN_PERIODS_H_
#define MAGNOLIAREEL_RELAY_CORE_DRAIN_PERIODS_H_

#include "core/core.h"

namespace magnoliareel {

/** How long a process that shuts down continues its work, counted from the
    start of the drain. Each period is as long as the one before, or longer.
    @see ShutdownSequence */
struct DrainPeriods {
  /** Open transactions may continue. Later, one whose caller pauses is rolled
      back. */
  Duration transactions{};
  /** Statements may be sent to endpoints. Later, those that were not sent are
      refused. */
  Duration statements{};
  /** Statements that were sent may be answered. Later, they fail as if their
      deadlines had expired, and all sessions end. */
  Duration answers{};
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_DRAIN_PERIODS_H_
