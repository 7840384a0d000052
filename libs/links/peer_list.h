#ifndef MAGNOLIAREEL_LINKS_PEER_LIST_H_
#define MAGNOLIAREEL_LINKS_PEER_LIST_H_

#include <string>
#include <string_view>
#include <vector>

namespace magnoliareel {

/** Parses a list of addresses.

    @param text  "host:port,host:port"
    @param out   receives the addresses
    @returns     what is wrong with it; empty if nothing is
*/
std::string ParsePeerList(std::string_view text, std::vector<std::string>& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_LINKS_PEER_LIST_H_
