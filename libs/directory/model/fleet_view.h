#ifndef MAGNOLIAREEL_DIRECTORY_MODEL_FLEET_VIEW_H_
#define MAGNOLIAREEL_DIRECTORY_MODEL_FLEET_VIEW_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "directory/model/endpoint_entry.h"
#include "directory/model/endpoint_holders.h"
#include "directory/model/route_table.h"

namespace magnoliareel {

/** The part of the control state that the traffic threads read; immutable once
    published.

    @see Snapshot
*/
struct FleetView {
  /** Never null. */
  std::shared_ptr<const RouteTable> routes = std::make_shared<RouteTable>();
  /** Endpoints in use, ordered by id. */
  std::vector<EndpointEntry> endpoints;
  /** Newest version of any row of the directory when this view was made. */
  uint64_t endpoints_version = 0;
  /** Time of the latest change of `endpoints`. */
  TimePoint endpoints_changed_at;
  /** Number of live VMs, including this one. */
  uint32_t live_vms = 1;
  /** Holders of the endpoints whose connections VMs outnumber. */
  std::map<EndpointId, EndpointHolders> holders;
};

/** Distance of a VM or endpoint from this VM. */
enum class Distance { kSameSite = 0, kSameRegion = 1, kRemote = 2 };

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DIRECTORY_MODEL_FLEET_VIEW_H_
