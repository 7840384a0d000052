#include "tests/simulation/sim_faults.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace magnoliareel::sim {
namespace {

constexpr size_t kMaxActiveFaults = 3;
constexpr Duration kMeanFaultInterval = std::chrono::milliseconds(150);

}  // namespace

void SimFaults::Run(Duration span) {
  const TimePoint end = cluster_.Now() + span;
  while (cluster_.Now() < end) {
    if (active_faults_.size() < kMaxActiveFaults) {
      StartRandomFault();
    }
    cluster_.Advance(
        Duration(cluster_.GetRandom()() % (2 * kMeanFaultInterval.count())));
  }
  EndAllFaults();
}

void SimFaults::StartRandomFault() {
  const EndpointId endpoint = ChooseEndpoint();
  const VmId vm = ChooseVm();
  SimNetwork& network = cluster_.GetNetwork();
  switch (cluster_.GetRandom()() % 13) {
    case 0:
      StartFault(
          "endpoint " + endpoint.value,
          [&] { cluster_.KillEndpoint(endpoint); },
          [this, endpoint] { cluster_.StartEndpoint(endpoint); });
      return;
    case 1:
      StartFault(
          "endpoint " + endpoint.value,
          [&] { cluster_.GetEndpoint(endpoint).node->Freeze(); },
          [this, endpoint] { cluster_.GetEndpoint(endpoint).node->Thaw(); });
      return;
    case 2:
      StartFault(
          "cut " + endpoint.value, [&] { SetEndpointIsolated(endpoint, true); },
          [this, endpoint] { SetEndpointIsolated(endpoint, false); });
      return;
    case 3:
      StartFault(
          "replication " + endpoint.value,
          [&] {
            ChangeEndpointFaults(endpoint, [](auto& faults) {
              faults.is_replication_cut = true;
            });
          },
          [this, endpoint] {
            ChangeEndpointFaults(endpoint, [](auto& faults) {
              faults.is_replication_cut = false;
            });
          });
      return;
    case 4:
      StartFault(
          "lag " + endpoint.value,
          [&] {
            ChangeEndpointFaults(endpoint, [](auto& faults) {
              faults.lag = std::chrono::milliseconds(800);
            });
          },
          [this, endpoint] {
            ChangeEndpointFaults(endpoint, [](auto& faults) {
              faults.lag = std::chrono::milliseconds(20);
            });
          });
      return;
    case 5:
      StartFault(
          "leaving " + endpoint.value,
          [&] {
            ChangeEndpointFaults(
                endpoint, [](auto& faults) { faults.is_leaving = true; });
          },
          [this, endpoint] {
            ChangeEndpointFaults(
                endpoint, [](auto& faults) { faults.is_leaving = false; });
          });
      return;
    case 6:
      StartFault(
          "pooler " + vm.value, [&] { cluster_.KillPooler(vm); },
          [this, vm] { cluster_.StartPooler(vm); });
      return;
    case 7:
      StartFault(
          "pooler " + vm.value, [&] { cluster_.GetPooler(vm).node->Freeze(); },
          [this, vm] { cluster_.GetPooler(vm).node->Thaw(); });
      return;
    case 8:
      StartFault(
          "entry " + vm.value, [&] { cluster_.KillEntry(vm); },
          [this, vm] { cluster_.StartEntry(vm); });
      return;
    case 9:
      StartFault(
          "pair " + vm.value + endpoint.value,
          [&] {
            network.SetPartitioned("pooler-" + vm.value, endpoint.value, true);
          },
          [this, vm, endpoint] {
            cluster_.GetNetwork().SetPartitioned("pooler-" + vm.value,
                                                 endpoint.value, false);
          });
      return;
    case 10:
      StartFault(
          "store", [&] { cluster_.GetGrantTable().is_unavailable = true; },
          [this] { cluster_.GetGrantTable().is_unavailable = false; });
      return;
    case 11:
      cluster_.GetGrantTable().answers_to_lose = 2;
      return;
    default:
      StartFault(
          "loss", [&] { network.SetAnswerLossRate(100); },
          [this] { cluster_.GetNetwork().SetAnswerLossRate(0); });
  }
}

void SimFaults::StartFault(const std::string& name,
                           const Task& begin,
                           Task end) {
  if (active_faults_.contains(name)) {
    return;
  }
  if (std::getenv("MAGNOLIAREEL_SIM_TRACE") != nullptr) {
    std::printf("%8ld us fault %s\n", cluster_.Now().time_since_epoch().count(),
                name.c_str());
  }
  begin();
  active_faults_[name] = std::move(end);
  const Duration span =
      std::chrono::milliseconds(100 + cluster_.GetRandom()() % 3000);
  cluster_.GetExecutor().After(span, [this, name] {
    if (auto node = active_faults_.extract(name)) {
      node.mapped()();
    }
  });
}

void SimFaults::EndAllFaults() {
  for (auto& [name, end] : std::exchange(active_faults_, {})) {
    end();
  }
  cluster_.GetGrantTable().answers_to_lose = 0;
  cluster_.GetNetwork().ClearFaults();
}

EndpointId SimFaults::ChooseEndpoint() {
  const auto endpoints = cluster_.ListEndpoints();
  return endpoints[cluster_.GetRandom()() % endpoints.size()];
}

VmId SimFaults::ChooseVm() {
  const auto vms = cluster_.ListVms();
  return vms[cluster_.GetRandom()() % vms.size()];
}

void SimFaults::ChangeEndpointFaults(
    const EndpointId& endpoint,
    const std::function<void(standin::EndpointFaults&)>& change) {
  auto& model = cluster_.GetEndpoint(endpoint).model;
  standin::EndpointFaults faults = model.GetFaults();
  change(faults);
  model.SetFaults(faults);
}

void SimFaults::SetEndpointIsolated(const EndpointId& endpoint,
                                    bool is_partitioned) {
  SimNetwork& network = cluster_.GetNetwork();
  for (const EndpointId& it : cluster_.ListEndpoints()) {
    if (it != endpoint) {
      network.SetPartitioned(it.value, endpoint.value, is_partitioned);
    }
  }
  for (const VmId& it : cluster_.ListVms()) {
    network.SetPartitioned("pooler-" + it.value, endpoint.value,
                           is_partitioned);
  }
}

}  // namespace magnoliareel::sim
