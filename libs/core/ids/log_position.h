#ifndef MAGNOLIAREEL_CORE_IDS_LOG_POSITION_H_
#define MAGNOLIAREEL_CORE_IDS_LOG_POSITION_H_

#include <compare>
#include <cstdint>

namespace magnoliareel {

/** A count of the records in a group's log.

    @see LogPoint
*/
struct LogPosition {
  /** Number of records up to and including this position. */
  uint64_t value = 0;

  /** Orders positions by distance from the log's beginning. */
  auto operator<=>(const LogPosition&) const = default;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_IDS_LOG_POSITION_H_
