#ifndef MAGNOLIAREEL_MESSAGES_PLATFORM_GRANT_ROW_H_
#define MAGNOLIAREEL_MESSAGES_PLATFORM_GRANT_ROW_H_

#include <string>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** Right of one process to use one term for one promotion. */
struct TermGrant {
  /** VM on which the process runs. */
  VmId vm;
  /** Id of the process, new at every start, so that a restarted process never
      uses a term that its predecessor may have used. */
  std::string incarnation;
  /** Granted term. */
  Term term;

  auto operator<=>(const TermGrant&) const = default;
};

/** Row of a group in the platform's table. Terms are granted in advance, so
    that a promotion needs no write to the table.
*/
struct GrantRow {
  /** Granted terms, at most one for each VM. */
  std::vector<TermGrant> grants;
  /** Highest term ever granted. */
  Term highest;

  auto operator<=>(const GrantRow&) const = default;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_PLATFORM_GRANT_ROW_H_
