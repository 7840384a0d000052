#ifndef MAGNOLIAREEL_PLACEMENT_ESTIMATES_ENDPOINT_RECORD_H_
#define MAGNOLIAREEL_PLACEMENT_ESTIMATES_ENDPOINT_RECORD_H_

#include "placement/ejection/ejection.h"
#include "placement/estimates/outcome_window.h"
#include "placement/estimates/response_estimate.h"

namespace magnoliareel {

/** What this VM has measured of an endpoint with callers' statements. */
struct EndpointRecord {
  ResponseEstimate response;
  OutcomeWindow outcomes;
  Ejection ejection;

  /** Records that a statement was sent. @see ResponseEstimate::RecordSent */
  void RecordSent(uint32_t running, TimePoint now) {
    response.RecordSent(running, now);
  }
  /** Records a usable reply to a read.

      @param time  time since it was sent
  */
  void RecordAnswered(Duration time, TimePoint now) {
    response.RecordReply(time, now);
    outcomes.Record(false, now);
    ejection.RecordOutcome(false);
  }
  /** Records a statement that failed or timed out. */
  void RecordFailed(TimePoint now) {
    response.RecordProgress(now);
    outcomes.Record(true, now);
    ejection.RecordOutcome(true);
  }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_PLACEMENT_ESTIMATES_ENDPOINT_RECORD_H_
