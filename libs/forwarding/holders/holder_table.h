#ifndef MAGNOLIAREEL_FORWARDING_HOLDERS_HOLDER_TABLE_H_
#define MAGNOLIAREEL_FORWARDING_HOLDERS_HOLDER_TABLE_H_

#include <map>
#include <span>
#include <vector>

#include "core/core.h"
#include "directory/directory.h"
#include "messages/messages.h"

namespace magnoliareel {

/** A VM that may hold connections for others. */
struct HolderCandidate {
  VmId vm;
  SiteId site;
  /** Address at which it accepts forwarded statements. */
  SocketAddress address;

  bool operator==(const HolderCandidate&) const = default;
};

/** Assigns holders to endpoints by rendezvous hashing. VMs at the endpoint's
    site are preferred, so that a forwarded statement crosses no more regions
    than one that is sent directly. VMs with the same candidates make the same
    choice; a VM that joins or leaves changes only the endpoints that it holds.

    Used on the control thread only.
*/
class HolderTable {
 public:
  /** @param self  this VM */
  explicit HolderTable(VmId self) : self_(std::move(self)) {}

  /** Replaces the candidates.

      @param candidates  the live VMs, this one included unless it is leaving
      @returns           true if they have changed
  */
  bool SetCandidates(std::span<const HolderCandidate> candidates);

  /** @returns the number of candidates */
  size_t CountCandidates() const { return candidates_.size(); }

  /** @param endpoint  an endpoint
      @returns         its holders, as this VM uses them; none if there are too
                       few candidates to share its connections
  */
  const EndpointHolders& Find(const EndpointEntry& endpoint);

 private:
  EndpointHolders Choose(const EndpointEntry& endpoint) const;

  const VmId self_;
  std::vector<HolderCandidate> candidates_;
  std::vector<VmEntry> entries_;
  std::map<std::pair<EndpointId, SiteId>, EndpointHolders> chosen_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_FORWARDING_HOLDERS_HOLDER_TABLE_H_
