#include "membership/ownership/ownership.h"

#include "membership/ownership/rank_owners.h"

namespace magnoliareel {
namespace {

template <class Map, class Name>
std::span<const VmId> FindRanks(const Map& map, const Name& name) {
  const auto it = map.find(name);
  return it == map.end() ? std::span<const VmId>()
                         : std::span<const VmId>(it->second);
}

}  // namespace

Ownership::Ownership(const Document& document, std::span<const VmEntry> vms) {
  for (const ServiceConfig& service : document.services) {
    for (const GroupConfig& group : service.groups) {
      drivers_[group.group] =
          RankOwners(vms, SiteId{}, group.group.value, kRanks);
      for (const EndpointConfig& it : group.endpoints) {
        owners_[it.endpoint] =
            RankOwners(vms, it.site, it.endpoint.value, kRanks);
      }
    }
  }
}

std::span<const VmId> Ownership::GetOwners(const EndpointId& endpoint) const {
  return FindRanks(owners_, endpoint);
}

std::span<const VmId> Ownership::GetDrivers(const GroupId& group) const {
  return FindRanks(drivers_, group);
}

}  // namespace magnoliareel
