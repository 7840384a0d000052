#ifndef MAGNOLIAREEL_POOLER_CORE_PENDING_REQUEST_H_
#define MAGNOLIAREEL_POOLER_CORE_PENDING_REQUEST_H_

#include <functional>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** Time that a request spent in each phase. */
struct PoolerTimings {
  /** Time in the queue. */
  Duration waited{0};
  /** Time in execution on a slot. */
  Duration ran{0};
};

/** Receives the answer to a request. */
using PoolerCompletion = std::function<void(PoolerAnswer, PoolerTimings)>;

/** State of a request from its arrival until its answer.

    @tparam Controller  type of the group's controller
    @tparam Runner      type of the endpoint's runner
*/
template <class Controller, class Runner>
struct PendingRequest {
  /** The request. */
  PoolerRequest request;
  /** Receives the answer. */
  PoolerCompletion done;
  /** Time at which the request arrived. */
  TimePoint arrived;
  /** Time after which an answer is no longer wanted. */
  TimePoint deadline;
  /** Time in the queue. */
  Duration waited{0};
  /** Time in execution on a slot. */
  Duration ran{0};
  /** Idle timeout of a transaction that the request opens. */
  Duration transaction_idle_limit{0};
  /** Controller of the request's group; nullptr until the group is known. */
  Controller* controller = nullptr;
  /** Runner of the request's endpoint; nullptr until the endpoint is known. */
  Runner* runner = nullptr;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_CORE_PENDING_REQUEST_H_
