#ifndef MAGNOLIAREEL_MESSAGES_PLATFORM_VM_ENTRY_H_
#define MAGNOLIAREEL_MESSAGES_PLATFORM_VM_ENTRY_H_

#include <string>

#include "core/core.h"

namespace magnoliareel {

/** Entry of the platform's list of VMs. */
struct VmEntry {
  /** Name of the VM. */
  VmId vm;
  /** Site in which the VM runs. */
  SiteId site;
  /** "host:port" of the entry process on the VM. */
  std::string entry_address;
  /** "host:port" of the pooler process on the VM. */
  std::string pooler_address;
  /** True if the VM is leaving and takes no new work. */
  bool is_leaving = false;

  auto operator<=>(const VmEntry&) const = default;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_PLATFORM_VM_ENTRY_H_
