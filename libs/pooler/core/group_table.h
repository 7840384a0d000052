#ifndef MAGNOLIAREEL_POOLER_CORE_GROUP_TABLE_H_
#define MAGNOLIAREEL_POOLER_CORE_GROUP_TABLE_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>

#include "core/core.h"
#include "membership/membership.h"
#include "pooler/endpoints/endpoint_runner.h"
#include "pooler/groups/group_controller.h"
#include "pooler/policies/pooler_policy.h"

namespace magnoliareel {

/** Table of the groups and endpoints in use at a pooler: those that it owns or
    drives, and those that a request named.

    @tparam E  executor of the control thread
    @tparam L  link that calls the endpoints
    @tparam S  store of the platform's table
    @tparam P  policy: the product's behaviour or a baseline
*/
template <Executor E, EndpointLink L, GrantStore S, PoolerPolicy P>
class GroupTable {
 public:
  /** Type of a group's controller. */
  using Controller = GroupController<E, L, S, P>;
  /** Type of an endpoint's runner. */
  using Runner = EndpointRunner<E, L, P>;

  /** @param executor  executor of the control thread
      @param link      link that calls the endpoints
      @param store     store of the platform's table
      @param options   options of the pooler; outlive this table
  */
  GroupTable(E& executor, L& link, S& store, const PoolerOptions& options)
      : executor_(executor), link_(link), store_(store), options_(options) {}

  /** Applies a changed document or list of VMs.

      @param deployment  the deployment now in force
  */
  void Apply(const Deployment& deployment) {
    for (const ServiceConfig& service : deployment.document.services) {
      for (const GroupConfig& group : service.groups) {
        ApplyGroup(group, deployment.ownership);
      }
    }
    for (auto& [name, controller] : controllers_) {
      if (deployment.document.FindGroup(name) == nullptr) {
        controller->SetRank({}, std::nullopt);
      }
    }
  }

  /** Processes the timers and drivers of all groups. */
  void Tick() {
    for (auto& [name, controller] : controllers_) {
      controller->Tick();
    }
  }

  /** @param group  a group of the document
      @returns      its controller, created on the first call
  */
  Controller& GetController(const GroupConfig& group) {
    auto& controller = controllers_[group.group];
    if (!controller) {
      controller = std::make_unique<Controller>(executor_, link_, store_, group,
                                                options_, MakeListener(group));
    }
    return *controller;
  }

  /** @param config  an endpoint of the document
      @returns      its runner, created on the first call
  */
  Runner& GetRunner(const EndpointConfig& config) {
    auto& runner = runners_[config.endpoint];
    if (!runner) {
      runner = std::make_unique<Runner>(
          executor_, link_, config,
          options_.vm.value + "-" + options_.incarnation);
    }
    return *runner;
  }

  /** @param group  name of a group
      @returns      its controller; nullptr if the group is not in use
  */
  Controller* FindController(const GroupId& group) const {
    const auto it = controllers_.find(group);
    return it == controllers_.end() ? nullptr : it->second.get();
  }
  /** @param endpoint  name of an endpoint
      @returns         its runner; nullptr if the endpoint is not in use
  */
  Runner* FindRunner(const EndpointId& endpoint) const {
    const auto it = runners_.find(endpoint);
    return it == runners_.end() ? nullptr : it->second.get();
  }

  /** @param group  name of a group
      @returns      its state; nullptr if the group is not in use
  */
  const GroupState* FindState(const GroupId& group) const {
    const Controller* controller = FindController(group);
    return controller == nullptr ? nullptr : &controller->GetState();
  }
  /** Visits every group in use.

      @param visit  receives the name and state of each group
  */
  void VisitGroups(const std::function<void(const GroupId&, const GroupState&)>&
                       visit) const {
    for (const auto& [name, controller] : controllers_) {
      visit(name, controller->GetState());
    }
  }
  /** Visits every endpoint in use.

      @param visit  receives the name, the number of queued statements and the
                    number of connections of each endpoint
  */
  void VisitEndpoints(
      const std::function<void(const EndpointId&, size_t, int64_t)>& visit)
      const {
    for (const auto& [name, runner] : runners_) {
      visit(name, runner->CountWaiting(), runner->CountConnections());
    }
  }

 private:
  void ApplyGroup(const GroupConfig& group, const Ownership& ownership) {
    const auto drivers = ownership.GetDrivers(group.group);
    const auto rank = FindRank(drivers);
    bool is_needed = rank.has_value();
    for (const EndpointConfig& it : group.endpoints) {
      const bool is_owner = FindRank(ownership.GetOwners(it.endpoint)) == 0;
      is_needed |= is_owner;
      if (const auto known = runners_.find(it.endpoint);
          known != runners_.end()) {
        known->second->UpdateLimits(it);
      } else if (is_owner) {
        GetRunner(it).WarmUp();
      }
    }
    if (is_needed || controllers_.contains(group.group)) {
      GetController(group).SetRank(drivers, rank);
    }
  }

  std::optional<size_t> FindRank(std::span<const VmId> vms) const {
    const auto it = std::find(vms.begin(), vms.end(), options_.vm);
    return it == vms.end()
               ? std::nullopt
               : std::optional(static_cast<size_t>(it - vms.begin()));
  }

  /** Creates the listener that abandons statements on a replaced primary or an
      unreachable endpoint, which would otherwise hold them until their
      deadline. */
  GroupListener MakeListener(const GroupConfig& group) {
    GroupListener listener;
    listener.on_primary = [this, group](const PrimaryView& primary) {
      for (const EndpointConfig& it : group.endpoints) {
        if (it.endpoint != primary.endpoint) {
          Abandon(it.endpoint, [&primary](const EndpointCall& call) {
            return call.term < primary.term;
          });
        }
      }
    };
    listener.on_unreachable = [this](const EndpointId& endpoint) {
      Abandon(endpoint, [](const EndpointCall& call) {
        return call.verb == EndpointVerb::kRead;
      });
    };
    return listener;
  }

  void Abandon(const EndpointId& endpoint,
               const std::function<bool(const EndpointCall&)>& should_abandon) {
    if (Runner* runner = FindRunner(endpoint)) {
      runner->Abandon(should_abandon);
    }
  }

  E& executor_;
  L& link_;
  S& store_;
  const PoolerOptions& options_;
  std::unordered_map<GroupId, std::unique_ptr<Controller>> controllers_;
  std::unordered_map<EndpointId, std::unique_ptr<Runner>> runners_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_CORE_GROUP_TABLE_H_
