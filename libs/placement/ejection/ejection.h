#ifndef MAGNOLIAREEL_PLACEMENT_EJECTION_EJECTION_H_
#define MAGNOLIAREEL_PLACEMENT_EJECTION_EJECTION_H_

#include "core/core.h"

namespace magnoliareel {

/** Time for which an endpoint is ejected at first, and at most. */
inline constexpr Duration kInitialEjectionTime = std::chrono::seconds(2);
inline constexpr Duration kMaxEjectionTime = std::chrono::seconds(16);
/** Interval at which one real read probes an ejected endpoint. */
inline constexpr Duration kProbeInterval = std::chrono::seconds(1);

/** Whether an endpoint is ejected, and for how long. The time doubles with each
    ejection that follows soon after the last one. */
class Ejection {
 public:
  /** Begins an ejection. */
  void Eject(TimePoint now);
  /** Records the outcome of a statement, which may be a probe. */
  void RecordOutcome(bool is_bad) {
    // Statements that were sent before the ejection say nothing new.
    probe_failed_ = probe_failed_ || (is_ejected_ && has_probed_ && is_bad);
  }
  /** Ends the ejection if its time has passed and no probe failed; prolongs it
      if one has failed.

      @returns true if it has ended */
  bool EndIfDue(TimePoint now);
  /** @returns true if a read should be sent there in spite of the ejection */
  bool IsProbeDue(TimePoint now) const {
    return is_ejected_ && now - probed_at_ >= kProbeInterval;
  }
  /** Records that a probe is sent. */
  void RecordProbe(TimePoint now) {
    probed_at_ = now;
    has_probed_ = true;
  }

  /** @returns true if no reads but probes should be sent there */
  bool IsEjected() const { return is_ejected_; }
  /** @returns the time of the present or last ejection */
  Duration GetTime() const { return time_; }

 private:
  bool is_ejected_ = false;
  bool has_probed_ = false;
  bool probe_failed_ = false;
  Duration time_{};
  TimePoint until_;
  TimePoint probed_at_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_PLACEMENT_EJECTION_EJECTION_H_
