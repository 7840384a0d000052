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

/** The groups and endpoints that a pooler works with: those that it owns or
    drives, and those that a request named.

    @tparam E  the control thread
    @tparam L  calls the endpoints
    @tparam S  the platform's table
    @tparam P  the product's behaviour or a baseline
*/
template <Executor E, EndpointLink L, GrantStore S, PoolerPolicy P>
class GroupTable {
 public:
  /** A group at this pooler. */
  using Controller = GroupController<E, L, S, P>;
  /** An endpoint at this pooler. */
  using Runner = EndpointRunner<E, L, P>;

  /** @param executor  the control thread
      @param link      calls the endpoints
      @param store     the platform's table
      @param options   of the pooler; outlives this
  */
  GroupTable(E& executor, L& link, S& store, const PoolerOptions& options)
      : executor_(executor), link_(link), store_(store), options_(options) {}

  /** Takes over a changed document or list of VMs.

      @param deployment  what is in force now
  */
  void Apply(const Deployment& deployment) {
    for (const ServiceShape& service : deployment.document.services) {
      for (const GroupShape& group : service.groups) {
        ApplyGroup(group, deployment.ownership);
      }
    }
    for (auto& [name, desk] : groups_) {
      if (deployment.document.FindGroup(name) == nullptr) {
        desk->SetRank({}, std::nullopt);
      }
    }
  }

  /** Looks at the timers and drivers of all groups. */
  void Tick() {
    for (auto& [name, desk] : groups_) {
      desk->Tick();
    }
  }

  /** @param group  a group of the document  @returns its desk, made if needed
   */
  Controller& GetController(const GroupShape& group) {
    auto& desk = groups_[group.group];
    if (!desk) {
      desk = std::make_unique<Controller>(executor_, link_, store_, group,
                                          options_, MakeListener(group));
    }
    return *desk;
  }

  /** @param shape  an endpoint of the document  @returns its runner, made if
      needed */
  Runner& GetRunner(const EndpointShape& shape) {
    auto& runner = runners_[shape.endpoint];
    if (!runner) {
      runner = std::make_unique<Runner>(
          executor_, link_, shape,
          options_.vm.value + "-" + options_.incarnation);
    }
    return *runner;
  }

  /** @param group  a name  @returns its desk, or nullptr */
  Controller* FindController(const GroupId& group) const {
    const auto it = groups_.find(group);
    return it == groups_.end() ? nullptr : it->second.get();
  }
  /** @param endpoint  a name  @returns its runner, or nullptr */
  Runner* FindRunner(const EndpointId& endpoint) const {
    const auto it = runners_.find(endpoint);
    return it == runners_.end() ? nullptr : it->second.get();
  }

  /** @param group  a name  @returns what is known of it, or nullptr */
  const GroupState* FindState(const GroupId& group) const {
    const Controller* desk = FindController(group);
    return desk == nullptr ? nullptr : &desk->GetState();
  }
  /** @param visit  takes the name and state of each watched group */
  void VisitGroups(const std::function<void(const GroupId&, const GroupState&)>&
                       visit) const {
    for (const auto& [name, desk] : groups_) {
      visit(name, desk->GetState());
    }
  }
  /** @param visit  takes the name, waiting statements and open connections of
      each endpoint in use */
  void VisitEndpoints(
      const std::function<void(const EndpointId&, size_t, int64_t)>& visit)
      const {
    for (const auto& [name, runner] : runners_) {
      visit(name, runner->CountWaiting(), runner->CountConnections());
    }
  }

 private:
  void ApplyGroup(const GroupShape& group, const Ownership& ownership) {
    const auto drivers = ownership.GetDrivers(group.group);
    const auto rank = FindRank(drivers);
    bool is_wanted = rank.has_value();
    for (const EndpointShape& it : group.endpoints) {
      const bool is_owner = FindRank(ownership.GetOwners(it.endpoint)) == 0;
      is_wanted |= is_owner;
      if (const auto known = runners_.find(it.endpoint);
          known != runners_.end()) {
        known->second->UpdateLimits(it);
      } else if (is_owner) {
        GetRunner(it).WarmUp();
      }
    }
    if (is_wanted || groups_.contains(group.group)) {
      GetController(group).SetRank(drivers, rank);
    }
  }

  std::optional<size_t> FindRank(std::span<const VmId> vms) const {
    const auto it = std::find(vms.begin(), vms.end(), options_.vm);
    return it == vms.end()
               ? std::nullopt
               : std::optional(static_cast<size_t>(it - vms.begin()));
  }

  /** A replaced primary, or an endpoint that is silent, would hold statements
      until their deadline. */
  GroupListener MakeListener(const GroupShape& group) {
    GroupListener listener;
    listener.on_primary = [this, group](const PrimaryView& primary) {
      for (const EndpointShape& it : group.endpoints) {
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
  std::unordered_map<GroupId, std::unique_ptr<Controller>> groups_;
  std::unordered_map<EndpointId, std::unique_ptr<Runner>> runners_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_CORE_GROUP_TABLE_H_
