#ifndef MAGNOLIAREEL_POOLER_GROUPS_GROUP_WATCHER_H_
#define MAGNOLIAREEL_POOLER_GROUPS_GROUP_WATCHER_H_

#include <functional>
#include <span>
#include <utility>
#include <vector>

#include "core/core.h"
#include "failover/failover.h"

namespace magnoliareel {

/** Monitors the endpoints of a group by long polling: each endpoint has one
    call at a time and holds it until its state changes.

    The load is proportional to the changes; an idle endpoint answers twice a
    second.

    @tparam E  executor of the control thread
    @tparam L  link that calls the endpoints
*/
template <Executor E, EndpointLink L>
class GroupWatcher {
 public:
  /** Longest time for which an endpoint may hold a call. */
  static constexpr Duration kLongPollTimeout = std::chrono::milliseconds(500);
  /** Additional wait for the answer before the call counts as missed. */
  static constexpr Duration kLongPollGracePeriod =
      std::chrono::milliseconds(200);
  /** Pause before an endpoint that missed a call is polled again. */
  static constexpr Duration kPollBackoff = std::chrono::milliseconds(100);

  /** Called after each report or missed call, with whether the endpoint
      answered. */
  using Observer = std::function<void(const EndpointId&, bool)>;

  /** @param executor   executor of the control thread
      @param link       link that calls the endpoints
      @param endpoints  all endpoints of the group
      @param observer   called after each report or missed call
  */
  GroupWatcher(E& executor,
               L& link,
               std::span<const EndpointId> endpoints,
               Observer observer)
      : executor_(executor),
        link_(link),
        state_(endpoints),
        observer_(std::move(observer)) {}

  /** Starts to poll all endpoints; called once. */
  void Start() {
    for (const MemberState& it : state_.GetMembers()) {
      Poll(it.endpoint);
    }
  }

  /** Records a report that came with the answer to another call.

      @param endpoint      an endpoint of the group
      @param report        the report
      @param request_time  time at which that call was sent
  */
  void RecordReport(const EndpointId& endpoint,
                    const EndpointReport& report,
                    TimePoint request_time) {
    state_.RecordReport(endpoint, report, request_time, executor_.Now());
    observer_(endpoint, true);
  }

  /** @returns the state of the group */
  const GroupState& GetState() const { return state_; }

 private:
  void Poll(const EndpointId& endpoint) {
    const MemberState* member = state_.Find(endpoint);
    EndpointCall call;
    call.verb = EndpointVerb::kWatch;
    if (member->report && member->is_reachable) {
      call.after = member->report->last;
      call.term = member->report->term;
      call.wait = kLongPollTimeout;
    }
    link_.Call(endpoint, std::move(call),
               kLongPollTimeout + kLongPollGracePeriod,
               [this, endpoint,
                request_time = executor_.Now()](const EndpointReply& reply) {
                 HandleReply(endpoint, request_time, reply);
               });
  }

  void HandleReply(const EndpointId& endpoint,
                   TimePoint request_time,
                   const EndpointReply& reply) {
    if (reply.ec) {
      state_.RecordMiss(endpoint);
      observer_(endpoint, false);
      executor_.After(kPollBackoff, [this, endpoint] { Poll(endpoint); });
      return;
    }
    RecordReport(endpoint, reply.answer.report, request_time);
    Poll(endpoint);
  }

  E& executor_;
  L& link_;
  GroupState state_;
  const Observer observer_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_GROUPS_GROUP_WATCHER_H_
