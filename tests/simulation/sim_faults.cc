#include "tests/simulation/sim_faults.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace magnoliareel::sim {
namespace {

constexpr size_t kMaxAtATime = 3;
constexpr Duration kSpacing = std::chrono::milliseconds(150);

}  // namespace

void SimFaults::Run(Duration span) {
  const TimePoint end = cluster_.Now() + span;
  while (cluster_.Now() < end) {
    if (present_.size() < kMaxAtATime) {
      BeginOne();
    }
    cluster_.Advance(Duration(cluster_.GetRandom()() % (2 * kSpacing.count())));
  }
  EndAll();
}

void SimFaults::BeginOne() {
  const EndpointId endpoint = ChooseEndpoint();
  const VmId vm = ChooseVm();
  SimNetwork& network = cluster_.GetNetwork();
  switch (cluster_.GetRandom()() % 13) {
    case 0:
      Begin(
          "endpoint " + endpoint.value,
          [&] { cluster_.KillEndpoint(endpoint); },
          [this, endpoint] { cluster_.StartEndpoint(endpoint); });
      return;
    case 1:
      Begin(
          "endpoint " + endpoint.value,
          [&] { cluster_.GetEndpoint(endpoint).node->Freeze(); },
          [this, endpoint] { cluster_.GetEndpoint(endpoint).node->Thaw(); });
      return;
    case 2:
      Begin(
          "cut " + endpoint.value, [&] { CutEndpoint(endpoint, true); },
          [this, endpoint] { CutEndpoint(endpoint, false); });
      return;
    case 3:
      Begin(
          "replication " + endpoint.value,
          [&] {
            ChangeEndpoint(endpoint, [](auto& faults) {
              faults.is_replication_cut = true;
            });
          },
          [this, endpoint] {
            ChangeEndpoint(endpoint, [](auto& faults) {
              faults.is_replication_cut = false;
            });
          });
      return;
    case 4:
      Begin(
          "lag " + endpoint.value,
          [&] {
            ChangeEndpoint(endpoint, [](auto& faults) {
              faults.lag = std::chrono::milliseconds(800);
            });
          },
          [this, endpoint] {
            ChangeEndpoint(endpoint, [](auto& faults) {
              faults.lag = std::chrono::milliseconds(20);
            });
          });
      return;
    case 5:
      Begin(
          "leaving " + endpoint.value,
          [&] {
            ChangeEndpoint(endpoint,
                           [](auto& faults) { faults.is_leaving = true; });
          },
          [this, endpoint] {
            ChangeEndpoint(endpoint,
                           [](auto& faults) { faults.is_leaving = false; });
          });
      return;
    case 6:
      Begin(
          "pooler " + vm.value, [&] { cluster_.KillPooler(vm); },
          [this, vm] { cluster_.StartPooler(vm); });
      return;
    case 7:
      Begin(
          "pooler " + vm.value, [&] { cluster_.GetPooler(vm).node->Freeze(); },
          [this, vm] { cluster_.GetPooler(vm).node->Thaw(); });
      return;
    case 8:
      Begin(
          "entry " + vm.value, [&] { cluster_.KillEntry(vm); },
          [this, vm] { cluster_.StartEntry(vm); });
      return;
    case 9:
      Begin(
          "pair " + vm.value + endpoint.value,
          [&] { network.SetCut("pooler-" + vm.value, endpoint.value, true); },
          [this, vm, endpoint] {
            cluster_.GetNetwork().SetCut("pooler-" + vm.value, endpoint.value,
                                         false);
          });
      return;
    case 10:
      Begin(
          "store", [&] { cluster_.GetTable().is_out = true; },
          [this] { cluster_.GetTable().is_out = false; });
      return;
    case 11:
      cluster_.GetTable().answers_to_lose = 2;
      return;
    default:
      Begin(
          "loss", [&] { network.SetLoss(100); },
          [this] { cluster_.GetNetwork().SetLoss(0); });
  }
}

void SimFaults::Begin(const std::string& name, const Task& begin, Task end) {
  if (present_.contains(name)) {
    return;
  }
  if (std::getenv("MAGNOLIAREEL_SIM_TRACE") != nullptr) {
    std::printf("%8ld us fault %s\n", cluster_.Now().time_since_epoch().count(),
                name.c_str());
  }
  begin();
  present_[name] = std::move(end);
  const Duration span =
      std::chrono::milliseconds(100 + cluster_.GetRandom()() % 3000);
  cluster_.GetWorld().After(span, [this, name] {
    if (auto node = present_.extract(name)) {
      node.mapped()();
    }
  });
}

void SimFaults::EndAll() {
  for (auto& [name, end] : std::exchange(present_, {})) {
    end();
  }
  cluster_.GetTable().answers_to_lose = 0;
  cluster_.GetNetwork().HealAll();
}

EndpointId SimFaults::ChooseEndpoint() {
  const auto endpoints = cluster_.ListEndpoints();
  return endpoints[cluster_.GetRandom()() % endpoints.size()];
}

VmId SimFaults::ChooseVm() {
  const auto vms = cluster_.ListVms();
  return vms[cluster_.GetRandom()() % vms.size()];
}

void SimFaults::ChangeEndpoint(
    const EndpointId& endpoint,
    const std::function<void(standin::EndpointFaults&)>& change) {
  auto& model = cluster_.GetEndpoint(endpoint).model;
  standin::EndpointFaults faults = model.GetFaults();
  change(faults);
  model.SetFaults(faults);
}

void SimFaults::CutEndpoint(const EndpointId& endpoint, bool is_cut) {
  SimNetwork& network = cluster_.GetNetwork();
  for (const EndpointId& it : cluster_.ListEndpoints()) {
    if (it != endpoint) {
      network.SetCut(it.value, endpoint.value, is_cut);
    }
  }
  for (const VmId& it : cluster_.ListVms()) {
    network.SetCut("pooler-" + it.value, endpoint.value, is_cut);
  }
}

}  // namespace magnoliareel::sim
