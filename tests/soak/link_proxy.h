#ifndef MAGNOLIAREEL_TESTS_SOAK_LINK_PROXY_H_
#define MAGNOLIAREEL_TESTS_SOAK_LINK_PROXY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "net/net.h"

namespace magnoliareel {

/** What is wrong with some of a proxy's connections. */
struct LinkFaults {
  /** Bytes arrive this much later, in both directions. */
  Duration delay{};
  /** Nothing arrives at the server, though connections open. */
  bool drops_requests = false;
  /** Nothing comes back from the server. */
  bool drops_answers = false;
  /** Which connections have it: those whose number modulo 4 is a set bit. */
  uint32_t connections = 0xf;
};

/** A TCP proxy on the loopback between the nodes and one server, to disturb
    what passes. */
class LinkProxy {
 public:
  /** @param loop    serves it; outlives it
      @param listen  where the nodes connect
      @param target  the server
  */
  LinkProxy(EventLoop& loop, SocketAddress listen, SocketAddress target);
  ~LinkProxy();

  /** Starts to listen.

      @returns the system's error if the address cannot be used
  */
  std::error_code Start();
  /** Sets what is wrong from now on. */
  void SetTrouble(const LinkFaults& trouble) { trouble_ = trouble; }
  /** Ends connections abruptly.

      @param connections  @see LinkFaults
  */
  void Reset(uint32_t connections);

 private:
  struct Link;

  void Accept(Stream stream);
  void Forward(uint64_t link, bool to_server, std::string_view bytes);
  void Deliver(uint64_t link, bool to_server, std::string_view bytes);
  void End(uint64_t link);

  EventLoop& loop_;
  const SocketAddress listen_;
  const SocketAddress target_;
  StreamListener listener_;
  std::map<uint64_t, std::unique_ptr<Link>> links_;
  std::vector<std::unique_ptr<Link>> retired_;
  LinkFaults trouble_;
  uint64_t next_link_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_SOAK_LINK_PROXY_H_
