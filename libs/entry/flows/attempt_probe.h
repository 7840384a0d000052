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

/** Watches over one attempt: if the pooler is silent towards everyone for a
    while, it is pinged, and if it does not answer that either, the attempt is
    given up.

    @tparam E  the control thread
    @tparam L  the way to poolers
*/
template <Executor E, PoolerLink L>
class AttemptProbe : public std::enable_shared_from_this<AttemptProbe<E, L>> {
 public:
  /** Silence of a pooler after which it is pinged. */
  static constexpr Duration kSilence = std::chrono::milliseconds(500);
  /** Longest time for the answer to a ping. */
  static constexpr Duration kPingTimeout = std::chrono::milliseconds(400);

  /** @param executor  the control thread
      @param link      the way to poolers
      @param contacts  when poolers were heard from
      @param address   of the pooler
      @param on_lost   called at most once, on the control thread, if the pooler
                       is given up; decides itself whether the attempt still
                       runs
      @param is_over   whether the attempt has ended
  */
  AttemptProbe(E& executor,
               L& link,
               PoolerLivenessTable& contacts,
               std::string address,
               std::function<void()> on_lost,
               std::function<bool()> is_over)
      : executor_(executor),
        link_(link),
        contacts_(contacts),
        address_(std::move(address)),
        on_lost_(std::move(on_lost)),
        is_over_(std::move(is_over)) {}

  /** Looks again after the time of silence. */
  void Start() {
    executor_.After(kSilence,
                    [self = this->shared_from_this()] { self->Look(); });
  }

 private:
  void Look() {
    if (is_over_()) {
      return;
    }
    if (contacts_.GetTimeSinceLastAnswer(address_, executor_.Now()) <
        kSilence) {
      Start();
      return;
    }
    link_.Ping(address_, kPingTimeout,
               [self = this->shared_from_this()](std::error_code ec) {
                 self->executor_.Post([self, ec] { self->NotePing(ec); });
               });
  }

  void NotePing(std::error_code ec) {
    if (!ec) {
      contacts_.NoteAnswer(address_, executor_.Now());
      Start();
      return;
    }
    contacts_.RecordMissedPing(address_, executor_.Now());
    on_lost_();
  }

  E& executor_;
  L& link_;
  PoolerLivenessTable& contacts_;
  const std::string address_;
  const std::function<void()> on_lost_;
  const std::function<bool()> is_over_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_FLOWS_ATTEMPT_PROBE_H_
