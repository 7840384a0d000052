#ifndef MAGNOLIAREEL_TESTS_SIMULATION_SIM_FAULTS_H_
#define MAGNOLIAREEL_TESTS_SIMULATION_SIM_FAULTS_H_

#include <functional>
#include <map>
#include <string>

#include "core/core.h"
#include "tests/simulation/sim_cluster.h"

namespace magnoliareel::sim {

/** Injects random faults, at most three at a time, and ends each after a random
    time. */
class SimFaults {
 public:
  explicit SimFaults(SimCluster& cluster) : cluster_(cluster) {}

  /** Injects faults for some time, then ends all of them.

      @param span  virtual time with faults
  */
  void Run(Duration span);

 private:
  void StartRandomFault();
  void StartFault(const std::string& name, const Task& begin, Task end);
  void EndAllFaults();
  EndpointId ChooseEndpoint();
  VmId ChooseVm();
  void ChangeEndpointFaults(
      const EndpointId& endpoint,
      const std::function<void(standin::EndpointFaults&)>& change);
  void SetEndpointIsolated(const EndpointId& endpoint, bool is_partitioned);

  SimCluster& cluster_;
  /** Tasks that end the active faults, by name. */
  std::map<std::string, Task> active_faults_;
};

}  // namespace magnoliareel::sim

#endif  // MAGNOLIAREEL_TESTS_SIMULATION_SIM_FAULTS_H_
