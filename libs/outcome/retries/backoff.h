#ifndef MAGNOLIAREEL_OUTCOME_RETRIES_BACKOFF_H_
#define MAGNOLIAREEL_OUTCOME_RETRIES_BACKOFF_H_

#include <algorithm>
#include <random>

#include "core/core.h"

namespace magnoliareel {

/** Chooses the backoff before a retry: exponential with equal jitter.

    The bound doubles with each attempt from `initial` up to `max`.

    @tparam R       random source
    @param attempt  number of attempts made so far, at least 1
    @param initial  bound after the first attempt
    @param max      maximum of the bound
    @param random   source of the jitter
    @returns        a backoff between half of the bound and the bound
*/
template <RandomSource R>
Duration ChooseBackoff(int attempt, Duration initial, Duration max, R& random) {
  Duration bound = initial;
  for (int n = 1; n < attempt && bound < max; ++n) {
    bound *= 2;
  }
  bound = std::min(bound, max);
  std::uniform_int_distribution<int64_t> jitter(bound.count() / 2,
                                                bound.count());
  return Duration(jitter(random));
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_OUTCOME_RETRIES_BACKOFF_H_
