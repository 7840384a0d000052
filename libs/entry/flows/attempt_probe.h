#ifndef MAGNOLIAREEL_ENTRY_FLOWS_ATTEMPT_PROBE_H_
#define MAGNOLIAREEL_ENTRY_FLOWS_ATTEMPT_PROBE_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "core/core.h"
#include "entry/pooler_link.h"
#include "entry/state/pooler_liveness_table.h"

namespace magnoliareel {

/** Detects during one attempt that the pooler has failed.

    If the pooler has answered no request of this entry for kSilenceTimeout, the
    probe pings it. If the ping fails, the attempt is abandoned.

    @tparam E  executor of the control thread
    @tparam L  transport to poolers
*/
template <Executor E, PoolerLink L>
class AttemptProbe : public std::enable_shared_from_this<AttemptProbe<E, L>> {
 public:
  /** Time without any answer from a pooler after which it is pinged. */
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(500);
  /** Longest wait for the answer to a ping. */
  static constexpr Duration kPingTimeout = std::chrono::milliseconds(400);

  /** @param executor  executor of the control thread
      @param link      transport to poolers
      @param liveness  times of the poolers' last answers
      @param address   address of the pooler
      @param on_lost   called at most once, on the control thread, when a ping
                       has failed; must itself check whether the attempt is
                       still running
      @param is_over   returns whether the attempt has ended
  */
  AttemptProbe(E& executor,
               L& link,
               PoolerLivenessTable& liveness,
               std::string address,
               std::function<void()> on_lost,
               std::function<bool()> is_over)
      : executor_(executor),
        link_(link),
        liveness_(liveness),
        address_(std::move(address)),
        on_lost_(std::move(on_lost)),
        is_over_(std::move(is_over)) {}

  /** Schedules the next check. */
  void Start() {
    executor_.After(kSilenceTimeout, [self = this->shared_from_this()] {
      self->CheckLiveness();
    });
  }

 private:
  void CheckLiveness() {
    if (is_over_()) {
      return;
    }
    if (liveness_.GetTimeSinceLastAnswer(address_, executor_.Now()) <
        kSilenceTimeout) {
      Start();
      return;
    }
    link_.Ping(
        address_, kPingTimeout,
        [self = this->shared_from_this()](std::error_code ec) {
          self->executor_.Post([self, ec] { self->HandlePingResult(ec); });
        });
  }

  void HandlePingResult(std::error_code ec) {
    if (!ec) {
      liveness_.RecordAnswer(address_, executor_.Now());
      Start();
      return;
    }
    liveness_.RecordMissedPing(address_, executor_.Now());
    on_lost_();
  }

  E& executor_;
  L& link_;
  PoolerLivenessTable& liveness_;
  const std::string address_;
  const std::function<void()> on_lost_;
  const std::function<bool()> is_over_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_FLOWS_ATTEMPT_PROBE_H_
