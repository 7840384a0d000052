#ifndef MAGNOLIAREEL_CORE_IDS_TERM_H_
#define MAGNOLIAREEL_CORE_IDS_TERM_H_

#include <compare>
#include <cstdint>

namespace magnoliareel {

/** The number of a primary's period of office in its group; grows with every
    promotion and names at most one primary.

    @see LogPoint
*/
struct Term {
  /** 0 before the first promotion. */
  uint64_t value = 0;

  /** Orders terms by age. */
  auto operator<=>(const Term&) const = default;
  /** @returns the term that follows this one */
  Term Next() const { return Term{value + 1}; }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_IDS_TERM_H_
