#ifndef MAGNOLIAREEL_TESTS_TRAFFIC_TRAFFIC_SIMULATION_H_
#define MAGNOLIAREEL_TESTS_TRAFFIC_TRAFFIC_SIMULATION_H_

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/control.h"
#include "platform/platform.h"
#include "relay/relay.h"
#include "standins/group/group_model.h"
#include "tests/traffic/event_queue.h"

namespace magnoliareel {

class TrafficSimulation;

/** Connections that carry orders, apart from those of the VMs. */
inline constexpr uint64_t kFirstCommandConnection = 1ULL << 40;
/** Member n listens on this port plus n. */
inline constexpr uint16_t kFirstMemberPort = 9000;

/** The network of one simulated VM. @see TrafficNet */
class SimulatedNet {
 public:
  SimulatedNet(TrafficSimulation& world, size_t vm) : world_(world), vm_(vm) {}

  TimePoint Now() const;
  std::string& GetCallerBuffer(uint64_t id) { return to_callers_[id]; }
  std::string& GetEndpointBuffer(uint64_t id) { return to_endpoints_[id]; }
  void OpenEndpoint(uint64_t id, const SocketAddress& address);
  void CloseEndpoint(uint64_t id);
  void CloseCaller(uint64_t id) { closed_callers_.insert(id); }
  bool HasUnread(uint64_t) const { return false; }
  void Wake(TimePoint moment);
  void Report(const ConditionReport& report);
  void OnPrimaryConfirmed(const EndpointId& endpoint, Term term);
  void Observe(const StatementSample&) {}
  void RequestPeerBound(const FreshnessBoundQuery& question);

  /** Sends what the core has written. */
  void Flush();

 private:
  friend class TrafficSimulation;

  TrafficSimulation& world_;
  const size_t vm_;
  std::map<uint64_t, std::string> to_callers_;
  std::map<uint64_t, std::string> to_endpoints_;
  std::set<uint64_t> closed_callers_;
};

/** Store, orders and promotions of a TrafficSimulation.
    @see RowStore, EndpointCommandSender, PromotionSender */
class SimulatedServices {
 public:
  explicit SimulatedServices(TrafficSimulation& world) : world_(world) {}

  void List(std::string_view, std::string_view, RowsCompletion) {}
  void Get(std::string_view table, std::string_view key, RowsCompletion done);
  void Follow(std::string_view, uint64_t, Duration, RowsCompletion) {}
  void WriteIf(std::string_view table,
               std::string_view key,
               std::string_view value,
               uint64_t version,
               RowsCompletion done);
  void Put(std::string_view,
           std::string_view,
           std::string_view,
           RowsCompletion) {}
  void Send(const EndpointEntry& endpoint,
            const EndpointCommand& order,
            Duration timeout,
            EndpointCommandCompletion done);
  void Promote(const ServiceId& service,
               const EndpointId& endpoint,
               uint64_t fencing_token,
               std::function<void(std::error_code)> done);

 private:
  TrafficSimulation& world_;
  uint64_t row_version_ = 0;
};

/** Several VMs before one group of databases, with a network whose faults are
    under the test's control. The driver of replacements runs the product's own
    PrimaryReplacement. */
class TrafficSimulation {
 public:
  using Core = TrafficCore<platform::LineDialect, SimulatedNet>;
  /** Told of each line that a caller receives; empty when its session ends. */
  using CallerOutput =
      std::function<void(size_t vm, uint64_t session, std::string_view line)>;

  TrafficSimulation(size_t vms, GroupOptions options);

  /** @returns the event queue, to plan what happens */
  EventQueue& GetQueue() { return queue_; }
  GroupModel& GetGroup() { return group_; }
  Core& GetCore(size_t vm) { return *vms_[vm].core; }

  /** Sets who hears of callers' lines. */
  void SetCallerOutput(CallerOutput output) { output_ = std::move(output); }
  /** Opens a caller's session; lines go to Send(). */
  uint64_t OpenCaller(size_t vm);
  void Send(size_t vm, uint64_t session, const std::string& line);
  void CloseCaller(size_t vm, uint64_t session);

  /** Publishes routes and endpoints to every VM. */
  void Publish();
  /** Cuts a VM off from a member, silently. */
  void Cut(size_t vm, size_t member, bool cut);
  /** Ends connections of a VM to a member. */
  void ResetConnections(size_t vm, size_t member);
  /** Lets the directory say that a member leaves, or stays after all. */
  void SetDraining(size_t member, bool draining);
  /** Loses orders to promote: they are not answered, and carried out seconds
      later. */
  void SetPromotionLoss(double part) { promotion_loss_ = part; }

  /** @see FailoverDelegate */
  TimePoint Now() const { return queue_.Now(); }
  /** @see FailoverDelegate */
  void AnnouncePrimary(const ServiceId& service, const EndpointId& endpoint);
  /** @see FailoverDelegate */
  void SendHeartbeats() {}
  /** @see FailoverDelegate */
  bool IsStoreConnected() const { return true; }

  /** @see FleetDelegate */
  void After(Duration pause, std::function<void()> task) {
    queue_.After(pause, std::move(task));
  }

 private:
  friend class SimulatedNet;
  friend class SimulatedServices;
  using Failover = FailoverControl<SimulatedServices,
                                   SimulatedServices,
                                   SimulatedServices,
                                   TrafficSimulation>;

  struct Vm {
    std::unique_ptr<SimulatedNet> net;
    std::unique_ptr<Core> core;
    platform::LineFramer framer;
  };
  struct Link {
    size_t vm = 0;
    size_t member = 0;
    uint64_t id = 0;
    bool open = false;
    std::string received;
  };
  struct PendingOrder {
    std::string received;
    EndpointCommandCompletion done;
    bool ended = false;
  };

  void PublishPeriodically();
  void HandleGroupOutput(uint64_t connection, std::string bytes);
  void HandleOrderOutput(uint64_t connection, const std::string& bytes);
  void DeliverToVm(uint64_t connection, const std::string& bytes);
  void Run(size_t vm, const std::function<void(Core&)>& event);
  void AskForBound(size_t vm, const FreshnessBoundQuery& question);
  void HandleReport(const ConditionReport& report);
  void HandleLeader(const EndpointId& endpoint, Term term);
  Duration GetDelay(size_t vm, size_t member);
  bool IsCut(size_t vm, size_t member) const {
    return cuts_.contains({vm, member});
  }
  std::vector<EndpointEntry> ListEndpoints() const;

  EventQueue queue_;
  GroupOptions options_;
  GroupModel group_;
  std::vector<Vm> vms_;
  CallerOutput output_;
  std::map<uint64_t, Link> links_;
  std::map<std::pair<size_t, uint64_t>, uint64_t> link_of_;
  std::map<uint64_t, PendingOrder> orders_;
  std::set<std::pair<size_t, size_t>> cuts_;
  uint64_t next_link_ = 1;
  uint64_t next_caller_ = 1;
  double promotion_loss_ = 0;
  std::set<size_t> draining_;
  std::mt19937_64 random_;
  PeerGroup peers_{SocketAddress{"127.0.0.1", 1}};
  SimulatedServices services_{*this};
  std::unique_ptr<Failover> failover_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_TRAFFIC_TRAFFIC_SIMULATION_H_
