#ifndef MAGNOLIAREEL_ENTRY_FLOWS_FLOW_CONTEXT_H_
#define MAGNOLIAREEL_ENTRY_FLOWS_FLOW_CONTEXT_H_

#include <functional>
#include <mutex>

#include "core/core.h"
#include "entry/policies/entry_policy.h"
#include "entry/pooler_link.h"
#include "entry/state/entry_state.h"
#include "entry/state/pooler_liveness_table.h"
#include "messages/messages.h"
#include "outcome/outcome.h"
#include "seal/seal.h"

namespace magnoliareel {

/** Receives the answer to a caller's request, on any thread. */
using CallerCompletion = std::function<void(CallerAnswer)>;

/** State shared by all request flows of one entry. */
template <Executor E, PoolerLink L, EntryPolicy P>
struct FlowContext {
  /** Executor of the control thread; runs timers. */
  E& executor;
  /** Transport to poolers. */
  L& link;
  /** Deployment and route hints. */
  EntryState<E>& state;
  /** Seals the session token of each answer. */
  const TokenSealer& sealer;
  /** Site of the entry. */
  SiteId site;
  /** Orders the endpoints of a group for a read. */
  typename P::Reads read_policy;
  /** Times of the poolers' last answers, and the suspected poolers. */
  PoolerLivenessTable liveness;
  /** Limits retries to a share of the traffic. */
  RetryBudget retry_budget;
  /** Guards `random`. */
  std::mutex random_mutex;
  /** Random source for jitter and for the choice among equally ranked
      endpoints. */
  ProcessRandom random;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_FLOWS_FLOW_CONTEXT_H_
