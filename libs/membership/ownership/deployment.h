#ifndef MAGNOLIAREEL_MEMBERSHIP_OWNERSHIP_DEPLOYMENT_H_
#define MAGNOLIAREEL_MEMBERSHIP_OWNERSHIP_DEPLOYMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"
#include "document/document.h"
#include "membership/ownership/ownership.h"
#include "messages/messages.h"

namespace magnoliareel {

/** Snapshot of the document and the list of VMs that the control thread has
    read from the platform. Published as a whole and immutable afterwards.
*/
struct Deployment {
  /** Version of the document; 0 if there is none. */
  uint64_t version = 0;
  /** Hash of the document. */
  std::string hash;
  /** The current document. */
  Document document;
  /** The VMs in use. */
  std::vector<VmEntry> vms;
  /** Owners of the endpoints and drivers of the groups. */
  Ownership ownership;

  /** @param vm  a VM
      @returns   its entry in `vms`, or nullptr if it isn't listed
  */
  const VmEntry* FindVm(const VmId& vm) const {
    for (const VmEntry& entry : vms) {
      if (entry.vm == vm) {
        return &entry;
      }
    }
    return nullptr;
  }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MEMBERSHIP_OWNERSHIP_DEPLOYMENT_H_
