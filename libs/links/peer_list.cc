#include "links/peer_list.h"

#include "settings/settings.h"

namespace magnoliareel {

std::string ParsePeerList(std::string_view text,
                          std::vector<std::string>& out) {
  while (!text.empty()) {
    const size_t comma = text.find(',');
    const std::string entry(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view()
                                           : text.substr(comma + 1);
    SocketAddress ignored;
    if (!ParseSocketAddress(entry, ignored)) {
      return "'" + entry + "' is not HOST:PORT";
    }
    out.push_back(entry);
  }
  return {};
}

}  // namespace magnoliareel
