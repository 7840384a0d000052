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
    immutable once made.

    @see RankOwners
*/
class Ownership {
 public:
  /** Number of ranks kept: the owner and those that take over. */
  static constexpr size_t kRanks = 3;

  /** Nothing is owned. */
  Ownership() = default;

  /** @param document  services in force
      @param vms       VMs in use
  */
  Ownership(const Document& document, std::span<const VmEntry> vms);

  /** @param endpoint  a name  @returns its VMs, the owner first; may be empty
   */
  std::span<const VmId> GetOwners(const EndpointId& endpoint) const;
  /** @param group  a name  @returns its VMs, the driver first; may be empty */
  std::span<const VmId> GetDrivers(const GroupId& group) const;

 private:
  std::unordered_map<EndpointId, std::vector<VmId>> owners_;
  std::unordered_map<GroupId, std::vector<VmId>> drivers_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MEMBERSHIP_OWNERSHIP_OWNERSHIP_H_
