#ifndef MAGNOLIAREEL_CORE_TIME_CHANGE_TIME_H_
#define MAGNOLIAREEL_CORE_TIME_CHANGE_TIME_H_

#include <optional>

#include "core/time/clock.h"

namespace magnoliareel {

/** When a change that this process has just learned of can have been made. */
struct ChangeTime {
  /** Earliest possible time; none if nothing bounds it, as in a process that
      has just started. */
  std::optional<TimePoint> earliest;
  /** The change was delivered as soon as it was made, at `earliest`. */
  bool is_prompt = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_TIME_CHANGE_TIME_H_
