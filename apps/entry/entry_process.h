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

/** The entry: joins its decisions, the control thread and the traffic threads.

    The control thread is `loop_`; the threads of `server_` and `client_` carry
    traffic and read what it publishes.

    @tparam P  the product's behaviour or a baseline; instantiated for each in
               the .cc file
*/
template <EntryPolicy P>
class EntryProcess {
 public:
  /** @param settings  its settings */
  explicit EntryProcess(EntrySettings settings);

  /** Begins to serve. @returns kListenFailed if it cannot listen */
  std::error_code Start();

  /** Refuses new work, lets what runs end, and stops. */
  void Stop();

 private:
  DeploymentEvents MakeDeploymentEvents();
  void ApplyDeployment(std::shared_ptr<const Deployment> deployment);
  void Accept(HttpRequest request, const HttpResponder& responder);
  void AcceptRequest(HttpRequest request, const HttpResponder& responder);
  void Serve(CallerRequest request, const HttpResponder& responder);
  void Finish(const CallerRequest& request,
              TimePoint arrived,
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
  DeploymentWatcher<ControlLoop, PlatformClient<ControlLoop>> watcher_;
  PeerDocumentPoller<ControlLoop> peers_;
  // Ends before what its completions use.
  HttpClient client_;
  HttpServer server_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_ENTRY_ENTRY_PROCESS_H_
