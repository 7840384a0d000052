#include "tests/traffic/simulated_control.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "membership/membership.h"

#include "tests/traffic/traffic_simulation.h"

namespace magnoliareel {
namespace {

// Time that a message between VMs of two sites travels.
constexpr Duration kPeerDelay = std::chrono::milliseconds(4);

/** @returns the VMs in the order in which they claim a service's duty */
std::vector<VmId> RankVms(size_t count, std::string_view service) {
  std::vector<VmEntry> entries(count);
  for (size_t it = 0; it < count; ++it) {
    entries[it].vm.value = "vm-" + std::to_string(it);
  }
  return RankOwners(entries, {}, service, count);
}

}  // namespace

SimulatedControl::SimulatedControl(TrafficSimulation& simulation,
                                   SimulatedServices& services)
    : simulation_(simulation),
      peer_services_(services),
      services_(simulation, services),
      vms_(RankVms(simulation.CountVms(), simulation.GetService())),
      failover_(services_,
                services_,
                services_,
                *this,
                peers_,
                vms_.front(),
                SiteId{"site-0"}) {
  RecordPeerHeartbeats();
}

void SimulatedControl::RecordPeerHeartbeats() {
  Heartbeat heartbeat;
  failover_.FillHeartbeat(heartbeat);
  heartbeat.duties.clear();
  heartbeat.promotions.clear();
  for (size_t it = 1; it < vms_.size(); ++it) {
    heartbeat.vm = vms_[it];
    heartbeat.site.value = "site-0";
    heartbeat.address = {"127.0.0.1", static_cast<uint16_t>(kFirstVmPort + it)};
    peers_.RecordHeartbeat(heartbeat, Now());
  }
}

bool SimulatedControl::IsStoreConnected() const {
  return !simulation_.IsStoreDown();
}

bool SimulatedControl::IsListed(const EndpointId& endpoint) const {
  const std::vector<EndpointEntry> listed = simulation_.ListEndpoints();
  return std::any_of(
      listed.begin(), listed.end(),
      [&](const EndpointEntry& it) { return it.id == endpoint; });
}

void SimulatedControl::ReadDirectory(
    const std::function<void(std::error_code)>& done) {
  After(kPeerDelay, [this, done] {
    simulation_.Publish();
    done(IsStoreConnected() ? std::error_code{}
                            : make_error_code(Error::kStoreUnavailable));
  });
}

void SimulatedControl::ForwardCommand(const SocketAddress& to,
                                      const ForwardedCommand& command) {
  const VmId& vm = vms_[to.port - kFirstVmPort];
  const std::optional<EndpointEntry> endpoint =
      simulation_.FindReported(command.endpoint);
  After(kPeerDelay, [this, vm, command, endpoint] {
    const auto respond = [this, vm, id = command.id](
                             ForwardedCommandResult result,
                             const ReplicationStatus& status) {
      const ForwardedCommandResponse response{id, vm, result, status};
      After(kPeerDelay, [this, response] {
        failover_.HandleForwardedCommandResponse(response);
      });
    };
    if (!endpoint) {
      respond(ForwardedCommandResult::kNotSent, {});
      return;
    }
    peer_services_.Send(
        *endpoint, command.command, command.timeout,
        [respond](std::error_code ec, const ReplicationStatus& status) {
          respond(GetForwardedResult(ec), status);
        });
  });
}

void SimulatedControl::QueryAnsweredCommit(
    const ServiceId& service,
    std::function<void(std::optional<LogPoint>)> done) {
  After(Duration(0), [this, service, done = std::move(done)] {
    done(simulation_.GetCore(FindVm(vms_.front())).FindAnsweredCommit(service));
  });
}

void SimulatedControl::SendAnsweredCommitQuery(
    const SocketAddress& to,
    const AnsweredCommitQuery& query) {
  const VmId& vm = vms_[to.port - kFirstVmPort];
  After(kPeerDelay, [this, vm, query] {
    const AnsweredCommitResponse response{
        query.id, vm,
        simulation_.GetCore(FindVm(vm)).FindAnsweredCommit(query.service)};
    After(kPeerDelay, [this, response] {
      failover_.HandleAnsweredCommitResponse(response);
    });
  });
}

size_t SimulatedControl::FindVm(const VmId& vm) const {
  size_t n = 0;
  while (n < vms_.size() && vm.value != "vm-" + std::to_string(n)) {
    ++n;
  }
  return n;
}

void ControlServices::Get(std::string_view table,
                          std::string_view key,
                          RowsCompletion done) {
  if (!is_killed_) {
    services_.Get(table, key, CallWhileAlive(std::move(done)));
  }
}

void ControlServices::WriteIf(std::string_view table,
                              std::string_view key,
                              std::string_view value,
                              uint64_t version,
                              RowsCompletion done) {
  if (!is_killed_) {
    services_.WriteIf(table, key, value, version,
                      CallWhileAlive(std::move(done)));
  }
}

void ControlServices::Send(const EndpointEntry& endpoint,
                           const EndpointCommand& command,
                           Duration timeout,
                           EndpointCommandCompletion done) {
  if (is_killed_) {
    return;
  }
  simulation_.command_observer_(command.kind);
  if (const size_t member = endpoint.address.port - kFirstMemberPort;
      simulation_.control_partitions_.contains(member)) {
    simulation_.After(timeout, CallWhileAlive([done = std::move(done)] {
                        done(Error::kUnreachable, {});
                      }));
    return;
  }
  services_.Send(endpoint, command, timeout, CallWhileAlive(std::move(done)));
}

void ControlServices::Promote(const ServiceId& service,
                              const EndpointId& endpoint,
                              uint64_t fencing_token,
                              std::function<void(std::error_code)> done) {
  if (!is_killed_) {
    services_.Promote(service, endpoint, fencing_token,
                      CallWhileAlive(std::move(done)));
  }
}

TimePoint SimulatedControl::Now() const {
  return simulation_.Now();
}

void SimulatedControl::After(Duration pause, std::function<void()> task) {
  simulation_.After(pause, services_.CallWhileAlive(std::move(task)));
}

void SimulatedControl::AnnouncePrimary(const ServiceId& service,
                                       const EndpointId& endpoint) {
  simulation_.AnnouncePrimary(service, endpoint);
}

void SimulatedControl::HoldCommits(const ServiceId& service,
                                   const EndpointId& successor) {
  simulation_.HoldCommits(service, successor);
}

void SimulatedControl::ReleaseCommits(const ServiceId& service) {
  simulation_.ReleaseCommits(service);
}

}  // namespace magnoliareel
