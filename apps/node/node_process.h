#ifndef MAGNOLIAREEL_APPS_NODE_NODE_PROCESS_H_
#define MAGNOLIAREEL_APPS_NODE_NODE_PROCESS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "allowance/allowance.h"
#include "apps/node/freshness_bound_exchange.h"
#include "apps/node/peer_exchange.h"
#include "apps/node/traffic_thread.h"
#include "control/control.h"
#include "net/net.h"
#include "platform/platform.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** A node. The thread that calls Run() is the control thread; the node starts
    the traffic thread. */
class NodeProcess {
 public:
  /** @param settings       settings without findings
      @param settings_path  path of the settings file, which SIGHUP checks again
      @param log            buffer of the log; outlives the node
  */
  NodeProcess(NodeSettings settings, std::string settings_path, LogBuffer& log);

  /** Serves callers until SIGTERM or SIGINT.

      @returns 0 after a regular stop; kExitCannotListen if an address cannot be
               listened on
  */
  int Run();

  /** @see FleetDelegate */
  TimePoint Now() const { return loop_.Now(); }
  /** @see FleetDelegate */
  void After(Duration pause, std::function<void()> task);
  /** @see FleetDelegate */
  void Publish(std::shared_ptr<const FleetView> view);
  /** @see FleetDelegate */
  void SendFeedConfirmation(FeedConfirmation confirmation);
  /** @see FailoverDelegate */
  void AnnouncePrimary(const ServiceId& service, const EndpointId& endpoint);
  /** @see FailoverDelegate */
  void HoldCommits(const ServiceId& service, const EndpointId& successor);
  /** @see FailoverDelegate */
  void ReleaseCommits(const ServiceId& service);
  /** @see FailoverDelegate */
  void SendHeartbeats();
  /** @see FailoverDelegate */
  bool IsStoreConnected() const;
  /** @see FailoverDelegate */
  bool IsListed(const EndpointId& endpoint) const;
  /** @see FailoverDelegate */
  void ReadDirectory(std::function<void(std::error_code)> done);
  /** @see OpenConnectionQuery */
  void QueryOpenConnection(const EndpointId& endpoint,
                           std::function<void(bool)> done);
  /** @see AnsweredCommitChannel */
  void QueryAnsweredCommit(const ServiceId& service,
                           std::function<void(std::optional<LogPoint>)> done);
  /** @see AnsweredCommitChannel */
  void SendAnsweredCommitQuery(const SocketAddress& to,
                               const AnsweredCommitQuery& query);
  /** @see AnsweredCommitChannel */
  void SendAnsweredCommitResponse(const SocketAddress& to,
                                  const AnsweredCommitResponse& response);
  /** @see SlotDelegate */
  void ApplySlots(const SlotAssignment* assignment, TimePoint valid_until);
  /** @see SlotDelegate */
  void RequestSlot(const VmId& owner);
  /** @see ForwardedCommandChannel */
  void ForwardCommand(const SocketAddress& to, const ForwardedCommand& command);
  /** @see ForwardedCommandChannel */
  void AnswerForwardedCommand(const SocketAddress& to,
                              const ForwardedCommandResponse& response);

 private:
  using Fleet =
      FleetControl<platform::StoreClient, platform::RowCodec, NodeProcess>;
  using Commands =
      ConnectionAwareCommands<platform::EndpointCommandClient, NodeProcess>;
  using Failover = FailoverControl<platform::StoreClient,
                                   TextDutyRowCodec,
                                   Commands,
                                   platform::PromotionClient,
                                   NodeProcess>;
  using Slots =
      SlotRegistry<platform::StoreClient, TextSlotRowCodec, NodeProcess>;

  PeerExchange::Callbacks MakePeerExchangeCallbacks();
  std::vector<HolderCandidate> ListHolderCandidates() const;
  void HandleOtherDatagram(std::string_view bytes);
  /** @returns false if the bytes are not a datagram on permits or slots */
  bool HandleAllowanceDatagram(std::string_view bytes);
  void SendPermitRequest(const VmId& to, const PermitRequest& request);
  /** Sends a datagram to a VM, if it is live. */
  void SendToVm(const VmId& vm, std::string_view bytes);
  /** Informs the allowances about the live VMs, if a team has a limit. */
  void ReviewAllowances();
  FreshnessBoundExchange::Callbacks MakeBoundExchangeCallbacks();
  NodeStatus MakeStatus() const;
  void HandleStoreRestored(uint64_t era);
  void RegisterVm();
  /** Sends heartbeats to the VMs that are registered in the store. */
  void ListRegisteredVms();

  net::Reply AnswerProbe();
  void AnswerMetrics(const net::HttpListener::Answer& answer);
  void HandleNotice(const TrafficNotice& notice);
  void CheckSettings() const;
  void BeginStop();
  void ContinueStop();
  void FlushLog();

  const NodeSettings settings_;
  const std::string settings_path_;
  LogBuffer& log_;
  EventLoop loop_;
  LoopTimer log_flush_timer_;
  LoopTimer stop_timer_;
  Mailbox<TrafficNotice> notices_;
  Mailbox<std::function<void()>> mailbox_;
  StatementMetrics metrics_{"magnoliareel"};
  platform::StoreClient store_;
  TrafficThread traffic_;
  Fleet fleet_;
  PeerExchange peers_;
  FreshnessBoundExchange bound_exchange_;
  platform::EndpointCommandClient command_client_;
  Commands commands_;
  platform::PromotionClient promotions_;
  Failover failover_;
  Slots slots_;
  net::HttpListener probe_;
  net::HttpListener metrics_listener_;
  bool ready_ = false;
  bool peer_review_scheduled_ = false;
  /** A configuration in force has limited a team. */
  bool uses_allowances_ = false;
  bool stopping_ = false;
  std::optional<ShutdownSequence> stop_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_NODE_NODE_PROCESS_H_
