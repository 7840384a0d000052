#ifndef MAGNOLIAREEL_PLACEMENT_ESTIMATES_RESPONSE_ESTIMATE_H_
#define MAGNOLIAREEL_PLACEMENT_ESTIMATES_RESPONSE_ESTIMATE_H_

#include <cstdint>
#include <optional>

#include "core/core.h"

namespace magnoliareel {

/** Half-life of estimates and outcomes, so that an endpoint that gets no
    statements is tried again. */
inline constexpr Duration kEstimateHalfLife = std::chrono::seconds(2);

/** @param age  time since a measurement
    @returns    its remaining weight, between 0 and 1 */
double GetRemainingWeight(Duration age);

/** Mean time from sending a statement to its reply, which includes the distance
    and all waiting behind this VM (at a holder, at the endpoint). */
class ResponseEstimate {
 public:
  /** Records that a statement was sent.

      @param running  statements that already ran there
  */
  void RecordSent(uint32_t running, TimePoint now);
  /** Records a reply to a statement.

      @param time  time since it was sent
  */
  void RecordReply(Duration time, TimePoint now);
  /** Records that a statement ended without a usable time. */
  void RecordProgress(TimePoint now) { progress_at_ = now; }
  /** Records the time of a request that the endpoint answers without work. */
  void RecordRoundTrip(Duration time);

  /** @returns the measured distance, if there is one */
  std::optional<Duration> GetRoundTrip() const { return round_trip_; }
  /** @param prior  expected time without measurements
      @returns      expected time from sending to the reply; tends to the prior
                    as the measurements age */
  Duration GetMean(Duration prior, TimePoint now) const;
  /** @param running  statements that run there
      @returns        time since the endpoint last finished a statement; 0 if
                      none is running. A lower bound of what the next one takes,
                      while replies are overdue. */
  Duration GetSilence(uint32_t running, TimePoint now) const;

 private:
  Duration mean_{};
  TimePoint measured_at_;
  TimePoint progress_at_;
  std::optional<Duration> round_trip_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_PLACEMENT_ESTIMATES_RESPONSE_ESTIMATE_H_
