#ifndef MAGNOLIAREEL_APPS_NODE_NODE_PROCESS_H_
#define MAGNOLIAREEL_APPS_NODE_NODE_PROCESS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "apps/node/bound_exchange.h"
#include "apps/node/peer_exchange.h"
#include "apps/node/traffic_thread.h"
#include "control/control.h"
#include "net/net.h"
#include "platform/platform.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** A node: the control thread, which is the one that runs this, and the traffic
    thread that it starts. */
class NodeProcess {
 public:
  /** @param settings       checked
      @param settings_path  read again on SIGHUP
      @param log            what the log is buffered in; outlives the process
  */
  NodeProcess(NodeSettings settings, std::string settings_path, LogRing& log);

  /** Serves until SIGTERM.

      @returns 0, or the exit code that says why it could not serve
  */
  int Run();

  /** @see FleetDelegate */
  TimePoint Now() const { return loop_.Now(); }
  /** @see FleetDelegate */
  void After(Duration pause, std::function<void()> task);
  /** @see FleetDelegate */
  void Publish(std::shared_ptr<const FleetView> view);
  /** @see FailoverDelegate */
  void AnnouncePrimary(const ServiceId& service, const EndpointId& endpoint);
  /** @see FailoverDelegate */
  void SendHeartbeats();
  /** @see FailoverDelegate */
  bool IsStoreConnected() const;

 private:
  using Fleet =
      FleetControl<platform::StoreClient, platform::RowCodec, NodeProcess>;
  using Failover = FailoverControl<platform::StoreClient,
                                   platform::OrderClient,
                                   platform::PromotionClient,
                                   NodeProcess>;

  PeerExchange::Hooks MakePeerHooks();
  BoundExchange::Hooks MakeBoundHooks();
  NodeStatus MakeStatus() const;
  void Register();
  void FindPeers();

  net::Reply AnswerProbe();
  void AnswerMetrics(const net::HttpListener::Answer& answer);
  void HandleNotice(const TrafficNotice& notice);
  void CheckSettings() const;
  void BeginStop();
  void ContinueStop();
  void DrainLog();

  const NodeSettings settings_;
  const std::string settings_path_;
  LogRing& log_;
  EventLoop loop_;
  LoopTimer log_timer_;
  LoopTimer stop_timer_;
  Mailbox<TrafficNotice> notices_;
  Mailbox<std::function<void()>> tasks_;
  StatementMetrics metrics_{"magnoliareel"};
  platform::StoreClient store_;
  TrafficThread traffic_;
  Fleet fleet_;
  PeerExchange peers_;
  BoundExchange bounds_;
  platform::OrderClient orders_;
  platform::PromotionClient promotions_;
  Failover failover_;
  net::HttpListener probe_;
  net::HttpListener metrics_listener_;
  bool ready_ = false;
  bool stopping_ = false;
  std::optional<ShutdownSequence> stop_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_NODE_NODE_PROCESS_H_
