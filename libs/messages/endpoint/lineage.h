#ifndef MAGNOLIAREEL_MESSAGES_ENDPOINT_LINEAGE_H_
#define MAGNOLIAREEL_MESSAGES_ENDPOINT_LINEAGE_H_

#include <span>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** The position at which a term began. Its primary begins it with an empty
    record, whose acknowledgement covers everything before it. */
struct TermStart {
  /** The term. */
  Term term;
  /** Last position of the log before the term's first record. */
  LogPosition start;

  auto operator<=>(const TermStart&) const = default;
};

/** The terms that a log has passed through, oldest first. */
using Lineage = std::vector<TermStart>;

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_ENDPOINT_LINEAGE_H_
