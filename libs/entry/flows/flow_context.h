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

/** What the flows of one entry share. */
template <Executor E, PoolerLink L, EntryPolicy P>
struct FlowContext {
  /** The control thread, for pauses. */
  E& executor;
  /** The way to poolers. */
  L& link;
  /** Deployment and hints. */
  EntryState<E>& state;
  /** Seals the new token. */
  const TokenSealer& sealer;
  /** Site of the entry. */
  SiteId site;
  /** Order in which endpoints are tried for reads. */
  typename P::Reads read_policy;
  /** When poolers were heard from. */
  PoolerLivenessTable contacts;
  /** Share of traffic that may be retries. */
  RetryBudget budget;
  /** Guards `random`. */
  std::mutex random_mutex;
  /** Source of jitter and of the choice among equal endpoints. */
  ProcessRandom random;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_FLOWS_FLOW_CONTEXT_H_
