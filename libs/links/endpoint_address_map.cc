#include "links/endpoint_address_map.h"

namespace magnoliareel {

std::string EndpointAddressMap::Parse(std::string_view text) {
  while (!text.empty()) {
    const size_t comma = text.find(',');
    const std::string_view entry = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view()
                                           : text.substr(comma + 1);
    const size_t equals = entry.find('=');
    SocketAddress address;
    if (equals == 0 || equals == std::string_view::npos ||
        !ParseSocketAddress(entry.substr(equals + 1), address)) {
      return "'" + std::string(entry) + "' is not NAME=HOST:PORT";
    }
    const EndpointId endpoint{std::string(entry.substr(0, equals))};
    if (!addresses_.emplace(endpoint, address).second) {
      return "'" + endpoint.value + "' is given twice";
    }
  }
  return {};
}

const SocketAddress* EndpointAddressMap::Find(
    const EndpointId& endpoint) const {
  const auto it = addresses_.find(endpoint);
  return it == addresses_.end() ? nullptr : &it->second;
}

}  // namespace magnoliareel
