#ifndef MAGNOLIAREEL_TESTS_TRAFFIC_SIMULATED_CONTROL_H_
#define MAGNOLIAREEL_TESTS_TRAFFIC_SIMULATED_CONTROL_H_

#include <functional>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "control/control.h"
#include "gossip/gossip.h"

namespace magnoliareel {

class SimulatedServices;
class TrafficSimulation;

/** The store, the platform and the members as one control thread reaches them.

    After Kill(), nothing is sent and nothing is answered any more, while what
    was sent before still arrives.

    @see RowStore, EndpointCommandSender, PromotionSender
*/
class ControlServices {
 public:
  /** @param simulation  must outlive this object
      @param services    must outlive this object
  */
  ControlServices(TrafficSimulation& simulation, SimulatedServices& services)
      : simulation_(simulation), services_(services) {}

  void Kill() { is_killed_ = true; }
  bool IsKilled() const { return is_killed_; }

  void List(std::string_view, std::string_view, const RowsCompletion&) {}
  void Get(std::string_view table, std::string_view key, RowsCompletion done);
  void Follow(std::string_view, uint64_t, Duration, const RowsCompletion&) {}
  void Poll(std::string_view, uint64_t, const RowsCompletion&) {}
  void WriteIf(std::string_view table,
               std::string_view key,
               std::string_view value,
               uint64_t version,
               RowsCompletion done);
  void Put(std::string_view,
           std::string_view,
           std::string_view,
           const RowsCompletion&) {}
  void Send(const EndpointEntry& endpoint,
            const EndpointCommand& command,
            Duration timeout,
            EndpointCommandCompletion done);
  void Promote(const ServiceId& service,
               const EndpointId& endpoint,
               uint64_t fencing_token,
               std::function<void(std::error_code)> done);

  /** @returns a function that calls another one unless Kill() was called
               meanwhile */
  template <class F>
  auto CallWhileAlive(F function) {
    return [this, function = std::move(function)](auto&&... arguments) {
      if (!is_killed_) {
        function(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

 private:
  TrafficSimulation& simulation_;
  SimulatedServices& services_;
  bool is_killed_ = false;
};

/** The control threads of the simulated VMs, from their start until they are
    killed. That of the VM which holds the duty is the product's; the others
    report the same suspicions. @see FailoverDelegate */
class SimulatedControl {
 public:
  using Failover = FailoverControl<ControlServices,
                                   TextDutyRowCodec,
                                   ControlServices,
                                   ControlServices,
                                   SimulatedControl>;

  /** @param simulation  must outlive this object
      @param services    must outlive this object
  */
  SimulatedControl(TrafficSimulation& simulation, SimulatedServices& services);

  Failover& GetFailover() { return failover_; }
  void Kill() { services_.Kill(); }
  bool IsAlive() const { return !services_.IsKilled(); }

  TimePoint Now() const;
  void After(Duration pause, std::function<void()> task);
  void AnnouncePrimary(const ServiceId& service, const EndpointId& endpoint);
  void HoldCommits(const ServiceId& service, const EndpointId& successor);
  void ReleaseCommits(const ServiceId& service);
  void SendHeartbeats() { RecordPeerHeartbeats(); }
  bool IsStoreConnected() const;
  bool IsListed(const EndpointId& endpoint) const;
  void ReadDirectory(const std::function<void(std::error_code)>& done);
  /** Lets another VM, which reaches every member, send the command, also to one
      that is not listed any more. */
  void ForwardCommand(const SocketAddress& to, const ForwardedCommand& command);
  void AnswerForwardedCommand(const SocketAddress&,
                              const ForwardedCommandResponse&) {}
  void QueryAnsweredCommit(const ServiceId& service,
                           std::function<void(std::optional<LogPoint>)> done);
  /** Lets another VM answer with what its traffic thread knows. */
  void SendAnsweredCommitQuery(const SocketAddress& to,
                               const AnsweredCommitQuery& query);
  void SendAnsweredCommitResponse(const SocketAddress&,
                                  const AnsweredCommitResponse&) {}

 private:
  /** Records heartbeats of all other VMs, with the suspicions of this one. */
  void RecordPeerHeartbeats();
  /** @returns the number of a VM in the simulation */
  size_t FindVm(const VmId& vm) const;

  TrafficSimulation& simulation_;
  SimulatedServices& peer_services_;
  ControlServices services_;
  PeerGroup peers_{SocketAddress{"127.0.0.1", 1}};
  /** All VMs; the first one holds the duty. */
  const std::vector<VmId> vms_;
  Failover failover_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_TRAFFIC_SIMULATED_CONTROL_H_
