#include "placement/estimates/response_estimate.h"

#include <algorithm>
#include <cmath>

namespace magnoliareel {
namespace {

// Least weight of a new sample, which follows a change within about twenty
// statements. Samples that are further apart weigh more, because the mean ages.
constexpr double kMinSampleWeight = 1.0 / 8;
// A shorter round trip is taken over at once; the estimate rises slowly,
// because single requests wait behind others.
constexpr int kRoundTripRiseDivisor = 64;

}  // namespace

double GetRemainingWeight(Duration age) {
  if (age <= Duration(0)) {
    return 1;
  }
  return std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(kEstimateHalfLife.count()));
}

void ResponseEstimate::RecordSent(uint32_t running, TimePoint now) {
  if (running == 0) {
    progress_at_ = now;
  }
}

void ResponseEstimate::RecordReply(Duration time, TimePoint now) {
  const bool is_first = measured_at_ == TimePoint{};
  const double weight =
      is_first ? 1
               : std::max(kMinSampleWeight,
                          1 - GetRemainingWeight(now - measured_at_));
  mean_ += Duration(static_cast<Duration::rep>(
      weight * static_cast<double>((time - mean_).count())));
  measured_at_ = now;
  progress_at_ = now;
}

void ResponseEstimate::RecordRoundTrip(Duration time) {
  if (!round_trip_ || time < *round_trip_) {
    round_trip_ = time;
  } else {
    *round_trip_ += (time - *round_trip_) / kRoundTripRiseDivisor;
  }
}

Duration ResponseEstimate::GetMean(Duration prior, TimePoint now) const {
  if (measured_at_ == TimePoint{}) {
    return prior;
  }
  const double weight = GetRemainingWeight(now - measured_at_);
  return prior + Duration(static_cast<Duration::rep>(
                     weight * static_cast<double>((mean_ - prior).count())));
}

Duration ResponseEstimate::GetSilence(uint32_t running, TimePoint now) const {
  return running == 0 ? Duration(0) : now - progress_at_;
}

}  // namespace magnoliareel
