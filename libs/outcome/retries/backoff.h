#ifndef MAGNOLIAREEL_OUTCOME_RETRIES_BACKOFF_H_
#define MAGNOLIAREEL_OUTCOME_RETRIES_BACKOFF_H_

#include <algorithm>
#include <random>

#include "core/core.h"

namespace magnoliareel {

/** Chooses the pause before a retry: grows with each attempt, with full
    jitter.

    @tparam R       random source
    @param attempt  number of attempts made so far, at least 1
    @param first    longest pause after the first attempt
    @param greatest longest pause ever
    @param random   source of the jitter
    @returns        a pause between half of the bound and the bound
*/
template <RandomSource R>
Duration ChooseBackoff(int attempt,
                       Duration first,
                       Duration greatest,
                       R& random) {
  Duration bound = first;
  for (int n = 1; n < attempt && bound < greatest; ++n) {
    bound *= 2;
  }
  bound = std::min(bound, greatest);
  std::uniform_int_distribution<int64_t> spread(bound.count() / 2,
                                                bound.count());
  return Duration(spread(random));
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_OUTCOME_RETRIES_BACKOFF_H_
