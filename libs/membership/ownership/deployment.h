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

/** Everything that the control thread has learned from the platform; published
    whole and never changed.
*/
struct Deployment {
  /** Version of the document; 0 if none is in force. */
  uint64_t version = 0;
  /** Hash of the document. */
  std::string hash;
  /** The document in force. */
  Document document;
  /** The VMs in use. */
  std::vector<VmEntry> vms;
  /** Who owns and drives what. */
  Ownership ownership;

  /** @param vm  a name  @returns its entry in the list, or nullptr */
  const VmEntry* FindVm(const VmId& vm) const {
    for (const VmEntry& it : vms) {
      if (it.vm == vm) {
        return &it;
      }
    }
    return nullptr;
  }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MEMBERSHIP_OWNERSHIP_DEPLOYMENT_H_
