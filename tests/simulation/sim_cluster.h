#ifndef MAGNOLIAREEL_TESTS_SIMULATION_SIM_CLUSTER_H_
#define MAGNOLIAREEL_TESTS_SIMULATION_SIM_CLUSTER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "entry/entry.h"
#include "pooler/pooler.h"
#include "seal/seal.h"
#include "standins/endpoint/endpoint_model.h"
#include "tests/simulation/sim_network.h"
#include "tests/simulation/sim_node.h"

namespace magnoliareel::sim {

/** The platform's table of grants, with faults. */
struct SimGrantTable {
  std::map<GroupId, std::pair<GrantRow, uint64_t>> rows;
  /** Every call fails. */
  bool is_unavailable = false;
  /** The answers to this many further writes are lost after the write. */
  int answers_to_lose = 0;
};

/** Options of a simulation. Mechanisms can be switched off to verify that the
    history check detects their absence. */
struct SimOptions {
  /** Poolers receive the session's watermark with each request. */
  bool sends_session_watermarks = true;
};

class SimCluster;

/** Calls endpoints on behalf of one pooler. */
class SimEndpointLink {
 public:
  SimEndpointLink(SimCluster& cluster, SimNode& node, std::string client)
      : cluster_(cluster), node_(node), client_(std::move(client)) {}
  void Call(const EndpointId& endpoint,
            EndpointCall call,
            Duration timeout,
            EndpointCompletion done);

 private:
  SimCluster& cluster_;
  SimNode& node_;
  const std::string client_;
};

/** Reads and writes grants on behalf of one pooler. */
class SimGrantStore {
 public:
  SimGrantStore(SimCluster& cluster, SimNode& node)
      : cluster_(cluster), node_(node) {}
  void ReadGrants(const GroupId& group, GrantCompletion done);
  void WriteGrants(const GroupId& group,
                   uint64_t expected_version,
                   const GrantRow& row,
                   GrantCompletion done);

 private:
  void Reply(GrantReply reply, GrantCompletion done, bool is_write);

  SimCluster& cluster_;
  SimNode& node_;
};

/** Calls poolers on behalf of one entry; addresses are names of VMs. */
class SimPoolerLink {
 public:
  SimPoolerLink(SimCluster& cluster, SimNode& node)
      : cluster_(cluster), node_(node) {}
  void Call(const std::string& address,
            const PoolerRequest& request,
            Duration timeout,
            PoolerReplyCompletion done);
  void Ping(const std::string& address,
            Duration timeout,
            const PingCompletion& done);

 private:
  SimCluster& cluster_;
  SimNode& node_;
};

/** One endpoint process. */
struct SimEndpoint {
  SimEndpoint(SimCluster& cluster, const std::string& name);

  std::shared_ptr<SimNode> node;
  standin::EndpointModel<SimNode> model;
};

/** One pooler process, from its start to its end. */
struct SimPooler {
  SimPooler(SimCluster& cluster,
            const std::string& vm,
            const std::string& incarnation);

  std::shared_ptr<SimNode> node;
  SimEndpointLink link;
  SimGrantStore store;
  PoolerCore<SimNode, SimEndpointLink, SimGrantStore> core;
};

/** One entry process, from its start to its end. */
struct SimEntry {
  SimEntry(SimCluster& cluster, const std::string& vm);

  std::shared_ptr<SimNode> node;
  SimPoolerLink link;
  EntryState<SimNode> state;
  EntryService<SimNode, SimPoolerLink> service;
};

/** Runs endpoints, poolers, entries and the table of grants under virtual time.
    The seed determines every random choice. */
class SimCluster {
 public:
  SimCluster(uint64_t seed, SimOptions options);

  /** Advances virtual time and runs the tasks that are due. */
  void Advance(Duration span) { executor_.Advance(span); }
  TimePoint Now() const { return executor_.Now(); }
  ProcessRandom& GetRandom() { return random_; }
  ManualExecutor& GetExecutor() { return executor_; }
  SimNetwork& GetNetwork() { return network_; }
  SimGrantTable& GetGrantTable() { return grant_table_; }
  const SimOptions& GetOptions() const { return options_; }
  const TokenSealer& GetSealer() const { return sealer_; }
  const std::shared_ptr<const Deployment>& GetDeployment() const {
    return deployment_;
  }

  std::vector<EndpointId> ListEndpoints() const;
  std::vector<VmId> ListVms() const;
  SimEndpoint& GetEndpoint(const EndpointId& endpoint) {
    return *endpoints_.at(endpoint);
  }
  SimPooler& GetPooler(const VmId& vm) { return *poolers_.at(vm); }
  SimEntry& GetEntry(const VmId& vm) { return *entries_.at(vm); }

  void KillPooler(const VmId& vm) { poolers_.at(vm)->node->Kill(); }
  void StartPooler(const VmId& vm);
  void KillEntry(const VmId& vm) { entries_.at(vm)->node->Kill(); }
  void StartEntry(const VmId& vm);
  void KillEndpoint(const EndpointId& endpoint);
  void StartEndpoint(const EndpointId& endpoint);

  /** @returns the endpoint that is primary in the group's highest term */
  const standin::Database* FindPrimary(const GroupId& group);

 private:
  ManualExecutor executor_;
  ProcessRandom random_;
  SimNetwork network_;
  SimGrantTable grant_table_;
  const SimOptions options_;
  const TokenSealer sealer_;
  std::shared_ptr<const Deployment> deployment_;
  std::map<EndpointId, std::unique_ptr<SimEndpoint>> endpoints_;
  std::map<VmId, std::unique_ptr<SimPooler>> poolers_;
  std::map<VmId, std::unique_ptr<SimEntry>> entries_;
  std::vector<std::unique_ptr<SimPooler>> dead_poolers_;
  std::vector<std::unique_ptr<SimEntry>> dead_entries_;
  std::vector<std::unique_ptr<SimEndpoint>> dead_endpoints_;
  int start_count_ = 0;
};

}  // namespace magnoliareel::sim

#endif  // MAGNOLIAREEL_TESTS_SIMULATION_SIM_CLUSTER_H_
