#ifndef MAGNOLIAREEL_LINKS_ENDPOINT_ADDRESS_MAP_H_
#define MAGNOLIAREEL_LINKS_ENDPOINT_ADDRESS_MAP_H_

#include <string>
#include <string_view>
#include <unordered_map>

#include "core/core.h"
#include "settings/settings.h"

namespace magnoliareel {

/** Addresses of endpoints, from the settings of one environment. */
class EndpointAddressMap {
 public:
  /** Adds addresses.

      @param text  "name=host:port,name=host:port"
      @returns     what is wrong with it; empty if nothing is
  */
  std::string Parse(std::string_view text);

  /** @param endpoint  a name  @returns its address, or nullptr */
  const SocketAddress* Find(const EndpointId& endpoint) const;

 private:
  std::unordered_map<EndpointId, SocketAddress> addresses_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_LINKS_ENDPOINT_ADDRESS_MAP_H_
