#ifndef MAGNOLIAREEL_CORE_IDS_LOG_POSITION_H_
#define MAGNOLIAREEL_CORE_IDS_LOG_POSITION_H_

#include <compare>
#include <cstdint>

namespace magnoliareel {

/** A position in a group's log, counted in records.

    @see LogPoint
*/
struct LogPosition {
  /** Number of records up to and including this position. */
  uint64_t value = 0;

  /** Orders positions from the start of the log. */
  auto operator<=>(const LogPosition&) const = default;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_IDS_LOG_POSITION_H_
