#ifndef MAGNOLIAREEL_TESTS_SIMULATION_SIM_FAULTS_H_
#define MAGNOLIAREEL_TESTS_SIMULATION_SIM_FAULTS_H_

#include <functional>
#include <map>
#include <string>

#include "core/core.h"
#include "tests/simulation/sim_cluster.h"

namespace magnoliareel::sim {

/** Brings about random faults, at most three at a time, and ends each after a
    random time. */
class SimFaults {
 public:
  explicit SimFaults(SimCluster& cluster) : cluster_(cluster) {}

  /** Brings about faults for a while, then ends all of them. */
  void Run(Duration span);

 private:
  void BeginOne();
  void Begin(const std::string& name, const Task& begin, Task end);
  void EndAll();
  EndpointId ChooseEndpoint();
  VmId ChooseVm();
  void ChangeEndpoint(
      const EndpointId& endpoint,
      const std::function<void(standin::EndpointFaults&)>& change);
  void CutEndpoint(const EndpointId& endpoint, bool is_cut);

  SimCluster& cluster_;
  std::map<std::string, Task> present_;
};

}  // namespace magnoliareel::sim

#endif  // MAGNOLIAREEL_TESTS_SIMULATION_SIM_FAULTS_H_
