#ifndef MAGNOLIAREEL_MESSAGES_PLATFORM_VM_ENTRY_H_
#define MAGNOLIAREEL_MESSAGES_PLATFORM_VM_ENTRY_H_

#include <string>

#include "core/core.h"

namespace magnoliareel {

/** One VM of the platform's list. */
struct VmEntry {
  /** The VM. */
  VmId vm;
  /** The site it runs in. */
  SiteId site;
  /** "host:port" of its entry. */
  std::string entry_address;
  /** "host:port" of its pooler. */
  std::string pooler_address;
  /** Whether it takes no new work. */
  bool is_leaving = false;

  auto operator<=>(const VmEntry&) const = default;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_PLATFORM_VM_ENTRY_H_
