#ifndef MAGNOLIAREEL_STORE_CLIENT_PLATFORM_KEYS_H_
#define MAGNOLIAREEL_STORE_CLIENT_PLATFORM_KEYS_H_

#include <string>
#include <string_view>

#include "core/core.h"

namespace magnoliareel {

/** Keys of the table rows that an environment stores in the platform. */
struct PlatformKeys {
  /** Name of the environment from the settings. */
  std::string environment;

  /** @returns key of the row with the DocumentHead in force */
  std::string GetHead() const { return environment + "/head"; }
  /** @param group  name of a group
      @returns      key of the row with the group's GrantRow */
  std::string GetGrants(const GroupId& group) const {
    return environment + "/grants/" + group.value;
  }
  /** @param version  version of a document
      @returns        key of the row that preserves the DocumentHead of this
                      version */
  std::string GetHistory(uint64_t version) const {
    return environment + "/history/" + std::to_string(version);
  }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_STORE_CLIENT_PLATFORM_KEYS_H_
