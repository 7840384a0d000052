#ifndef MAGNOLIAREEL_CORE_IDS_TERM_H_
#define MAGNOLIAREEL_CORE_IDS_TERM_H_

#include <compare>
#include <cstdint>

namespace magnoliareel {

/** The term number of a primary in its group. Every promotion starts a higher
    term, and a term has at most one primary.

    @see LogPoint
*/
struct Term {
  /** 0 before the first promotion. */
  uint64_t value = 0;

  /** Orders terms from the oldest to the latest. */
  auto operator<=>(const Term&) const = default;
  /** @returns the next higher term */
  Term Next() const { return Term{value + 1}; }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_IDS_TERM_H_
