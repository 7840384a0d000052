#ifndef MAGNOLIAREEL_POOLER_CORE_PENDING_REQUEST_H_
#define MAGNOLIAREEL_POOLER_CORE_PENDING_REQUEST_H_

#include <functional>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** Where the time of a request went. */
struct PoolerTimings {
  /** Time in the queue. */
  Duration waited{0};
  /** Time on the slot. */
  Duration ran{0};
};

/** Receives the answer to a request. */
using PoolerCompletion = std::function<void(PoolerAnswer, PoolerTimings)>;

/** A request between its arrival and its answer.

    @tparam Desk    type of the group's desk
    @tparam Runner  type of the endpoint's runner
*/
template <class Controller, class Runner>
struct PendingRequest {
  /** What is asked. */
  PoolerRequest request;
  /** Receives the answer. */
  PoolerCompletion done;
  /** When it arrived. */
  TimePoint arrived;
  /** When it is no longer wanted. */
  TimePoint deadline;
  /** Time in the queue. */
  Duration waited{0};
  /** Time on the slot. */
  Duration ran{0};
  /** Longest time without a statement, for a transaction that it opens. */
  Duration transaction_idle_limit{0};
  /** Desk of its group; nullptr until the group is known. */
  Controller* desk = nullptr;
  /** Runner of its endpoint; nullptr until the endpoint is known. */
  Runner* runner = nullptr;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_CORE_PENDING_REQUEST_H_
