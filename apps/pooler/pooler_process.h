#ifndef MAGNOLIAREEL_APPS_POOLER_POOLER_PROCESS_H_
#define MAGNOLIAREEL_APPS_POOLER_POOLER_PROCESS_H_

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "apps/pooler/pooler_settings.h"
#include "core/core.h"
#include "http/http.h"
#include "links/links.h"
#include "pooler/pooler.h"
#include "rpc/rpc.h"
#include "store/store.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** The pooler: joins the control state, the control thread and the traffic
    threads.

    The control thread is `loop_`; the threads of `server_` and `client_` carry
    traffic and hand it tasks.

    @tparam P  the product's behaviour or a baseline; instantiated for each in
               the .cc file
*/
template <PoolerPolicy P>
class PoolerProcess {
 public:
  /** @param settings  its settings */
  explicit PoolerProcess(PoolerSettings settings);

  /** Begins to serve. @returns kListenFailed if it cannot listen */
  std::error_code Start();

  /** Refuses new work, lets what runs end, and stops. */
  void Stop();

 private:
  using Link = HttpEndpointLink<ControlLoop>;
  using Store = PlatformClient<ControlLoop>;
  using Core = PoolerCore<ControlLoop, Link, Store, P>;

  PoolerOptions MakeOptions();
  PoolerEvents MakeEvents();
  DeploymentEvents MakeDeploymentEvents();
  void RegisterRpcMethods();
  void Accept(HttpRequest request, const HttpResponder& responder);
  void HandleRunRequest(const std::string& body,
                        const HttpResponder& responder);
  void HandleRpcRequest(std::string body, const HttpResponder& responder);
  void ConfirmLost(const GroupId& group,
                   const EndpointId& endpoint,
                   const std::function<void(bool)>& done);
  void ApplyDeployment(std::shared_ptr<const Deployment> deployment);
  PoolerStatus GetStatus() const;
  void WaitForOpenTransactions();

  const PoolerSettings settings_;
  const std::string incarnation_;
  StatementMetrics metrics_;
  RpcDispatcher dispatcher_;
  std::shared_ptr<const Deployment> deployment_;
  std::unique_ptr<Core> core_;
  ControlLoop loop_;
  HttpClient client_;
  Link link_;
  Store platform_;
  RpcLink<ControlLoop> rpc_;
  DeploymentWatcher<ControlLoop, Store> watcher_;
  PeerDocuments<ControlLoop> peers_;
  HttpServer server_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_POOLER_POOLER_PROCESS_H_
