#ifndef MAGNOLIAREEL_MESSAGES_PLATFORM_GRANT_ROW_H_
#define MAGNOLIAREEL_MESSAGES_PLATFORM_GRANT_ROW_H_

#include <string>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** The right of one process to use one term, once. */
struct TermGrant {
  /** The VM it runs on. */
  VmId vm;
  /** Names the process; a process that is started again has another name, so
      it never uses a term that its predecessor may have used. */
  std::string incarnation;
  /** The term. */
  Term term;

  auto operator<=>(const TermGrant&) const = default;
};

/** A group's row in the platform's table: terms granted ahead of need, so that
    a promotion needs no write to the table.
*/
struct GrantRow {
  /** At most one for each VM. */
  std::vector<TermGrant> grants;
  /** Highest term ever granted. */
  Term highest;

  auto operator<=>(const GrantRow&) const = default;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_PLATFORM_GRANT_ROW_H_
