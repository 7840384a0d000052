#include "tests/traffic/simulated_control.h"

#include "tests/traffic/traffic_simulation.h"

namespace magnoliareel {

SimulatedControl::SimulatedControl(TrafficSimulation& simulation,
                                   SimulatedServices& services)
    : simulation_(simulation),
      services_(services),
      failover_(services_,
                services_,
                services_,
                *this,
                peers_,
                VmId{"vm-0"},
                SiteId{"site-0"}) {}

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
  if (!is_killed_) {
    services_.Send(endpoint, command, timeout, CallWhileAlive(std::move(done)));
  }
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

}  // namespace magnoliareel
