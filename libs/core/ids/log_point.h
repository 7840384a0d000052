#ifndef MAGNOLIAREEL_CORE_IDS_LOG_POINT_H_
#define MAGNOLIAREEL_CORE_IDS_LOG_POINT_H_

#include <string>

#include "core/ids/log_position.h"
#include "core/ids/term.h"

namespace magnoliareel {

/** A position together with the term whose primary wrote it.

    Points order as logs do: by term first, then by position.

    @see Term, LogPosition
*/
struct LogPoint {
  /** Term of the record at the position. */
  Term term;
  /** Position in the log. */
  LogPosition position;

  /** Orders points by term, then position. */
  auto operator<=>(const LogPoint&) const = default;
};

/** @param point  any
    @returns       "term.position", as in logs and reports
*/
std::string FormatLogPoint(const LogPoint& point);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_IDS_LOG_POINT_H_
