#ifndef MAGNOLIAREEL_MESSAGES_ENDPOINT_LINEAGE_H_
#define MAGNOLIAREEL_MESSAGES_ENDPOINT_LINEAGE_H_

#include <span>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** Position at which a term began. The primary starts its term with an empty
    record; the acknowledgement of this record also covers all records before
    it. */
struct TermStart {
  /** Term that began. */
  Term term;
  /** Position of the last record before the term's first record. */
  LogPosition start;

  auto operator<=>(const TermStart&) const = default;
};

/** Terms in which the records of a log were written, oldest first. */
using Lineage = std::vector<TermStart>;

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_ENDPOINT_LINEAGE_H_
