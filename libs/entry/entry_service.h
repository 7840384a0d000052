#ifndef MAGNOLIAREEL_ENTRY_ENTRY_SERVICE_H_
#define MAGNOLIAREEL_ENTRY_ENTRY_SERVICE_H_

#include <memory>
#include <utility>

#include "core/core.h"
#include "entry/flows/admit_request.h"
#include "entry/flows/request_flow.h"
#include "entry/pooler_link.h"
#include "entry/state/entry_state.h"

namespace magnoliareel {

/** Settings of an entry's decisions. */
struct EntryOptions {
  /** Site of the entry. */
  SiteId site;
  /** Seed of all jitter. */
  uint64_t seed = 0;
};

/** Serves callers' requests; called from traffic threads.

    @tparam E  the control thread
    @tparam L  the way to poolers
    @tparam P  the product's behaviour or a baseline
    @see RequestFlow
*/
template <Executor E, PoolerLink L, EntryPolicy P = StandardEntryPolicy>
class EntryService {
 public:
  /** @param executor  the control thread
      @param link      the way to poolers
      @param state     what the control thread publishes
      @param sealer    seals and opens session tokens
      @param options   settings
  */
  EntryService(E& executor,
               L& link,
               EntryState<E>& state,
               const TokenSealer& sealer,
               EntryOptions options)
      : context_{executor, link, state, sealer, std::move(options.site),
                 {},       {},   {},    {},     ProcessRandom(options.seed)} {}

  /** Serves a request.

      @param request  what is asked
      @param done     called once, on any thread
  */
  void Serve(CallerRequest request, CallerCompletion done) {
    const auto deployment = context_.state.GetDeployment();
    CallerAnswer answer;
    answer.request = request.request;
    AdmittedRequest admitted;
    answer.ec = AdmitRequest(std::move(request), *deployment, context_.sealer,
                             admitted, answer.findings);
    if (answer.ec) {
      done(std::move(answer));
      return;
    }
    if (admitted.request.verb == CallerVerb::kOpenSession) {
      answer.outcome = Outcome::kDone;
      answer.token = context_.sealer.Seal(admitted.token);
      done(std::move(answer));
      return;
    }
    std::make_shared<RequestFlow<E, L, P>>(context_, deployment,
                                           std::move(admitted), std::move(done))
        ->Start();
  }

 private:
  FlowContext<E, L, P> context_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_ENTRY_SERVICE_H_
