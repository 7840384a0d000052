#include "placement/spillover/spillover_share.h"

#include <algorithm>
#include <cmath>

#include "placement/estimates/response_estimate.h"

namespace magnoliareel {
namespace {

// Time in which a change of the share shows in the measured times.
constexpr Duration kInterval = std::chrono::milliseconds(500);
// Factor of the share for each interval in which the level has room.
constexpr double kFallFactor = 0.9;
// The share falls only if the expected time is below this part of the bound,
// and rises above the bound.
constexpr double kFallThreshold = 0.8;
// Some reads stay, so that the level is still measured.
constexpr double kMaxShare = 0.95;
// Least weight of a new sample of the expected time: a few reads that arrive at
// once are no overload.
constexpr double kMinSampleWeight = 1.0 / 16;
// Smaller shares end.
constexpr double kMinShare = 0.02;

}  // namespace

void SpilloverShare::Update(Duration expected, Duration bound, TimePoint now) {
  const double measured = static_cast<double>(expected.count());
  const bool is_first = updated_at_ == TimePoint{};
  const double weight =
      is_first ? 1
               : std::max(kMinSampleWeight,
                          1 - GetRemainingWeight(now - updated_at_));
  updated_at_ = now;
  expected_us_ += weight * (measured - expected_us_);
  const double ratio =
      expected_us_ / static_cast<double>(std::max(bound, Duration(1)).count());
  if (ratio >= kFallThreshold || share_ == 0) {
    fell_at_ = now;
  } else if (const int64_t n = (now - fell_at_) / kInterval; n > 0) {
    share_ *= std::pow(kFallFactor, static_cast<double>(n));
    fell_at_ += n * kInterval;
    if (share_ < kMinShare) {
      share_ = 0;
    }
  }
  if (ratio <= 1) {
    return;
  }
  if (now - base_at_ >= kInterval) {
    // The backlog of the last interval drains if the time falls; another rise
    // would send away more than is needed.
    const bool drains = share_ > 0 && expected_us_ < base_expected_us_;
    base_ = drains ? base_ : share_;
    base_at_ = now;
    base_expected_us_ = expected_us_;
  }
  const double target = base_ + (1 - base_) * (1 - 1 / ratio);
  share_ = std::min(kMaxShare, std::max(share_, target));
}

}  // namespace magnoliareel
