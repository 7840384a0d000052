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

/** Settings of an EntryService. */
struct EntryOptions {
  /** Site of the entry. */
  SiteId site;
  /** Seed of the random source for jitter and endpoint choice. */
  uint64_t seed = 0;
};

/** Serves callers' requests. May be called from any traffic thread.

    @tparam E  executor of the control thread
    @tparam L  transport to poolers
    @tparam P  the behaviour in production or a baseline
    @see RequestFlow
*/
template <Executor E, PoolerLink L, EntryPolicy P = StandardEntryPolicy>
class EntryService {
 public:
  /** @param executor  executor of the control thread
      @param link      transport to poolers
      @param state     deployment and route hints
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

  /** Serves one request.

      @param request  the caller's request
      @param done     receives the answer; called once, on any thread
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
