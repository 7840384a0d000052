#ifndef MAGNOLIAREEL_CORE_IDS_LOG_POINT_H_
#define MAGNOLIAREEL_CORE_IDS_LOG_POINT_H_

#include <string>

#include "core/ids/log_position.h"
#include "core/ids/term.h"

namespace magnoliareel {

/** A log position together with the term of the primary that wrote the record.

    @see Term, LogPosition
*/
struct LogPoint {
  /** Term of the record at the position. */
  Term term;
  /** Position in the log. */
  LogPosition position;

  /** Orders points as logs are ordered: by term, then by position. */
  auto operator<=>(const LogPoint&) const = default;
};

/** @param point  the point to format
    @returns       "term.position", the form used in logs and reports
*/
std::string FormatLogPoint(const LogPoint& point);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_IDS_LOG_POINT_H_
