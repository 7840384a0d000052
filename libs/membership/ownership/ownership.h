#ifndef MAGNOLIAREEL_MEMBERSHIP_OWNERSHIP_OWNERSHIP_H_
#define MAGNOLIAREEL_MEMBERSHIP_OWNERSHIP_OWNERSHIP_H_

#include <span>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "document/document.h"
#include "messages/messages.h"

namespace magnoliareel {

/** The ranked owners of every endpoint and the ranked drivers of every group;
    immutable after construction.

    @see RankOwners
*/
class Ownership {
 public:
  /** Maximum number of ranked VMs per endpoint or group: the owner or driver
      and its successors. */
  static constexpr size_t kMaxRanks = 3;

  /** Creates an assignment without endpoints and groups. */
  Ownership() = default;

  /** @param document  document with the services
      @param vms       the VMs in use
  */
  Ownership(const Document& document, std::span<const VmEntry> vms);

  /** @param endpoint  an endpoint
      @returns         its ranked VMs, the owner first; may be empty
  */
  std::span<const VmId> GetOwners(const EndpointId& endpoint) const;
  /** @param group  a group
      @returns      its ranked VMs, the driver first; may be empty
  */
  std::span<const VmId> GetDrivers(const GroupId& group) const;

 private:
  std::unordered_map<EndpointId, std::vector<VmId>> owners_;
  std::unordered_map<GroupId, std::vector<VmId>> drivers_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MEMBERSHIP_OWNERSHIP_OWNERSHIP_H_
