#ifndef MAGNOLIAREEL_APPS_ENTRY_ENTRY_PROCESS_H_
#define MAGNOLIAREEL_APPS_ENTRY_ENTRY_PROCESS_H_

#include <atomic>
#include <memory>
#include <string>

#include "apps/entry/entry_settings.h"
#include "core/core.h"
#include "entry/entry.h"
#include "http/http.h"
#include "links/links.h"
#include "seal/seal.h"
#include "store/store.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** The process of an entry, which accepts callers' requests and forwards them
    to poolers.

    The control thread is `loop_`. The threads of `server_` and `client_` carry
    traffic and read the state that the control thread publishes.

    @tparam P  the product's behaviour or a baseline for experiments; the .cc
               file instantiates the class for each policy
    @see EntryService
*/
template <EntryPolicy P>
class EntryProcess {
 public:
  /** @param settings  settings of the program */
  explicit EntryProcess(EntrySettings settings);

  /** Starts serving.

      @returns  Error::kListenFailed if the listen address cannot be used; empty
                on success
  */
  std::error_code Start();

  /** Rejects new requests, waits for those in progress for at most the drain
      timeout, and stops. */
  void Stop();

 private:
  DeploymentEvents MakeDeploymentEvents();
  void ApplyDeployment(std::shared_ptr<const Deployment> deployment);
  void ApplyPendingDeployment();
  void HandleHttpRequest(HttpRequest request, const HttpResponder& responder);
  void HandleCallerRequest(HttpRequest request, const HttpResponder& responder);
  void Serve(CallerRequest request, const HttpResponder& responder);
  void FinishRequest(const CallerRequest& request,
                     TimePoint arrived_at,
                     const CallerAnswer& answer,
                     const HttpResponder& responder);

  const EntrySettings settings_;
  const TokenSealer sealer_;
  StatementMetrics metrics_;
  std::atomic<bool> is_draining_ = false;
  ControlLoop loop_;
  HttpPoolerLink link_;
  PlatformClient<ControlLoop> platform_;
  RpcLink<ControlLoop> rpc_;
  EntryState<ControlLoop> state_;
  EntryService<ControlLoop, HttpPoolerLink, P> service_;
  DeploymentWatcher<ControlLoop, PlatformClient<ControlLoop>>
      deployment_watcher_;
  PeerDocumentPoller<ControlLoop> document_poller_;
  DocumentForwarder<ControlLoop> document_forwarder_;
  std::shared_ptr<const Deployment> pending_deployment_;
  uint64_t forwarded_version_ = 0;
  bool is_forwarding_ = false;
  // Declared after the members that its completions use, so that it is
  // destroyed before them.
  HttpClient client_;
  HttpServer server_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_ENTRY_ENTRY_PROCESS_H_
