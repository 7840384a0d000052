#ifndef MAGNOLIAREEL_LINKS_ENDPOINT_ADDRESS_MAP_H_
#define MAGNOLIAREEL_LINKS_ENDPOINT_ADDRESS_MAP_H_

#include <string>
#include <string_view>
#include <unordered_map>

#include "core/core.h"
#include "settings/settings.h"

namespace magnoliareel {

/** Network addresses of endpoints by name, parsed from the settings. */
class EndpointAddressMap {
 public:
  /** Parses a list of addresses and adds them to the map. Addresses
      that precede a fault are added.

      @param text  list in the form "name=host:port,name=host:port"
      @returns     description of the first fault; empty on success
  */
  std::string Parse(std::string_view text);

  /** @param endpoint  name of an endpoint
      @returns         its address, or nullptr if the map has none */
  const SocketAddress* Find(const EndpointId& endpoint) const;

 private:
  std::unordered_map<EndpointId, SocketAddress> addresses_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_LINKS_ENDPOINT_ADDRESS_MAP_H_
