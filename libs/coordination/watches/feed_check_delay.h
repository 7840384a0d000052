#ifndef MAGNOLIAREEL_COORDINATION_WATCHES_FEED_CHECK_DELAY_H_
#define MAGNOLIAREEL_COORDINATION_WATCHES_FEED_CHECK_DELAY_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <random>

#include "core/core.h"

namespace magnoliareel {

/** A VM checks its tables when the latest question of any VM that the store has
    answered was sent this long ago, or up to kFeedCheckSpread longer. Together
    with the call and the news of it, this is less than the shortest time that a
    configuration may take until it is in force (4 s). */
inline constexpr Duration kFeedCheckInterval = std::chrono::milliseconds(1500);
/** Longer than it takes until all VMs have heard of a check, so that few of
    them check at the same time. */
inline constexpr Duration kFeedCheckSpread = std::chrono::seconds(1);

/** Chooses when a VM checks its tables unless another VM does so before. Of all
    VMs, about one chooses the beginning of the spread, whatever their number:
    the density of the delay grows exponentially towards the end.

    Source: Nonnenmacher and Biersack, "Scalable Feedback for Large Groups",
    IEEE/ACM Transactions on Networking, 1999.

    @tparam R      @see RandomSource
    @param vms     number of live VMs, at least 1
    @param random  source of random numbers
    @returns       kFeedCheckInterval to kFeedCheckInterval + kFeedCheckSpread
*/
template <RandomSource R>
Duration ChooseFeedCheckDelay(uint32_t vms, R& random) {
  const double rate = 1 + std::log(static_cast<double>(std::max(vms, 1U)));
  const double sample = std::exponential_distribution<double>(rate)(random);
  const double share = std::max(0.0, 1.0 - sample);
  return kFeedCheckInterval +
         std::chrono::duration_cast<Duration>(kFeedCheckSpread * share);
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_COORDINATION_WATCHES_FEED_CHECK_DELAY_H_
