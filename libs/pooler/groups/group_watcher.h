#ifndef MAGNOLIAREEL_POOLER_GROUPS_GROUP_WATCHER_H_
#define MAGNOLIAREEL_POOLER_GROUPS_GROUP_WATCHER_H_

#include <functional>
#include <span>
#include <utility>
#include <vector>

#include "core/core.h"
#include "failover/failover.h"

namespace magnoliareel {

/** Asks the endpoints of a group for their state, each with one call at a time
    that the endpoint holds until something changes.

    The load follows the changes: an idle endpoint answers twice a second.

    @tparam E  the control thread
    @tparam L  calls the endpoints
*/
template <Executor E, EndpointLink L>
class GroupWatcher {
 public:
  /** Time for which an endpoint may hold the call. */
  static constexpr Duration kLongPollTimeout = std::chrono::milliseconds(500);
  /** Time beyond kLongPollTimeout after which the call counts as missed. */
  static constexpr Duration kLongPollGracePeriod =
      std::chrono::milliseconds(200);
  /** Pause after a missed call. */
  static constexpr Duration kPollBackoff = std::chrono::milliseconds(100);

  /** Runs after each report or miss; says whether the endpoint answered. */
  using Observer = std::function<void(const EndpointId&, bool)>;

  /** @param executor   the control thread
      @param link       calls the endpoints
      @param endpoints  the group's endpoints
      @param observer   runs after each report or miss
  */
  GroupWatcher(E& executor,
               L& link,
               std::span<const EndpointId> endpoints,
               Observer observer)
      : executor_(executor),
        link_(link),
        state_(endpoints),
        observer_(std::move(observer)) {}

  /** Begins to watch; called once. */
  void Start() {
    for (const MemberState& it : state_.GetMembers()) {
      Ask(it.endpoint);
    }
  }

  /** Notes a report that came with another answer. */
  void RecordReport(const EndpointId& endpoint,
                    const EndpointReport& report,
                    TimePoint asked) {
    state_.RecordReport(endpoint, report, asked, executor_.Now());
    observer_(endpoint, true);
  }

  /** @returns what is known of the group */
  const GroupState& GetState() const { return state_; }

 private:
  void Ask(const EndpointId& endpoint) {
    const MemberState* member = state_.Find(endpoint);
    EndpointCall call;
    call.verb = EndpointVerb::kWatch;
    if (member->report && member->is_reachable) {
      call.after = member->report->last;
      call.term = member->report->term;
      call.wait = kLongPollTimeout;
    }
    link_.Call(
        endpoint, std::move(call), kLongPollTimeout + kLongPollGracePeriod,
        [this, endpoint, asked = executor_.Now()](const EndpointReply& reply) {
          NoteReply(endpoint, asked, reply);
        });
  }

  void NoteReply(const EndpointId& endpoint,
                 TimePoint asked,
                 const EndpointReply& reply) {
    if (reply.ec) {
      state_.RecordMiss(endpoint);
      observer_(endpoint, false);
      executor_.After(kPollBackoff, [this, endpoint] { Ask(endpoint); });
      return;
    }
    RecordReport(endpoint, reply.answer.report, asked);
    Ask(endpoint);
  }

  E& executor_;
  L& link_;
  GroupState state_;
  const Observer observer_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_GROUPS_GROUP_WATCHER_H_
