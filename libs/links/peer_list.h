#ifndef MAGNOLIAREEL_LINKS_PEER_LIST_H_
#define MAGNOLIAREEL_LINKS_PEER_LIST_H_

#include <string>
#include <string_view>
#include <vector>

namespace magnoliareel {

/** Parses a list of peer addresses.

    @param text  list in the form "host:port,host:port"
    @param out   receives the addresses, also those that precede a fault
    @returns     description of the first fault; empty on success
*/
std::string ParsePeerList(std::string_view text, std::vector<std::string>& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_LINKS_PEER_LIST_H_
