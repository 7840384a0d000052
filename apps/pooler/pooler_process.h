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

/** The process of a pooler, which owns connections and slots of endpoints and
    drives the failover of groups.

    The control thread is `loop_`. The threads of `server_` and `client_` carry
    traffic and post tasks to the control thread.

    @tparam P  the product's behaviour or a baseline for experiments; the .cc
               file instantiates the class for each policy
    @see PoolerCore
*/
template <PoolerPolicy P>
class PoolerProcess {
 public:
  /** @param settings  settings of the program */
  explicit PoolerProcess(PoolerSettings settings);

  /** Starts serving.

      @returns  Error::kListenFailed if the listen address cannot be used; empty
                on success
  */
  std::error_code Start();

  /** Starts the drain, waits for open transactions and for requests in
      progress, and stops. Rolls back the transactions that are still open
      after the grace period and have no statement in progress. */
  void Stop();

 private:
  using Link = HttpEndpointLink<ControlLoop>;
  using Store = PlatformClient<ControlLoop>;
  using Core = PoolerCore<ControlLoop, Link, Store, P>;

  PoolerOptions MakeOptions();
  PoolerEvents MakeEvents();
  DeploymentEvents MakeDeploymentEvents();
  void RegisterRpcMethods();
  void HandleHttpRequest(HttpRequest request, const HttpResponder& responder);
  void HandleRunRequest(const std::string& body,
                        const HttpResponder& responder);
  void HandleRpcRequest(std::string body, const HttpResponder& responder);
  // Asks the first other VM that can drive the group whether it reaches the
  // endpoint. Passes true to `done` if that VM does not reach it, does not
  // answer or does not exist.
  void RequestLossConfirmation(const GroupId& group,
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
  DeploymentWatcher<ControlLoop, Store> deployment_watcher_;
  PeerDocumentPoller<ControlLoop> document_poller_;
  HttpServer server_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_POOLER_POOLER_PROCESS_H_
