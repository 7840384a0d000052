#ifndef MAGNOLIAREEL_STORE_CLIENT_PLATFORM_KEYS_H_
#define MAGNOLIAREEL_STORE_CLIENT_PLATFORM_KEYS_H_

#include <string>
#include <string_view>

#include "core/core.h"

namespace magnoliareel {

/** Names of the rows and objects that one environment keeps at the platform.
 */
struct PlatformKeys {
  /** The environment, as given in the settings. */
  std::string environment;

  /** @returns row that names the document in force */
  std::string GetHead() const { return environment + "/head"; }
  /** @param group  a group  @returns row of its granted terms */
  std::string GetGrants(const GroupId& group) const {
    return environment + "/grants/" + group.value;
  }
  /** @param version  of a document  @returns row that keeps its head */
  std::string GetHistory(uint64_t version) const {
    return environment + "/history/" + std::to_string(version);
  }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_STORE_CLIENT_PLATFORM_KEYS_H_
