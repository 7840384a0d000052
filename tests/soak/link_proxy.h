#ifndef MAGNOLIAREEL_TESTS_SOAK_LINK_PROXY_H_
#define MAGNOLIAREEL_TESTS_SOAK_LINK_PROXY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "net/net.h"

namespace magnoliareel {

/** Faults of some of a proxy's connections. */
struct LinkFaults {
  /** Delays bytes in both directions. */
  Duration delay{};
  /** Drops all bytes to the server; connections still open. */
  bool drops_requests = false;
  /** Drops all bytes from the server. */
  bool drops_answers = false;
  /** Connection N is affected if bit N modulo 4 is set. */
  uint32_t connections = 0xf;
};

/** A TCP proxy on the loopback interface between the nodes and one server. It
    injects faults into its connections. */
class LinkProxy {
 public:
  /** @param loop    runs the proxy; outlives it
      @param listen  address that the nodes connect to
      @param target  address of the server
  */
  LinkProxy(EventLoop& loop, SocketAddress listen, SocketAddress target);
  ~LinkProxy();

  /** Starts listening.

      @returns the system's error if the address cannot be used
  */
  std::error_code Start();
  /** Refuses new connections until Start() is called again, as the host of a
      server that has ended. Open connections stay. */
  void Stop() { listener_.Stop(); }
  /** Delays all bytes from the server, on every connection and beside
      SetFaults().

      @param delay  zero ends the delay
  */
  void SetAnswerDelay(Duration delay) { answer_delay_ = delay; }
  /** Sets the faults from now on. */
  void SetFaults(const LinkFaults& faults) { faults_ = faults; }
  /** Closes connections on both sides at once.

      @param connections  selects them; see LinkFaults::connections
  */
  void Reset(uint32_t connections);
  /** Drops all bytes of the connections that one node opens, in both
      directions, while the other nodes still reach the server. Only for a
      server that speaks the session protocol, whose first line names the node.

      @param vm  the node's name
  */
  void CutVm(std::string_view vm) { cut_vms_.emplace(vm); }
  /** Closes the connections of one node, and each new one once its first line
      names the node, while the other nodes still reach the server.

      @param vm  the node's name
  */
  void RefuseVm(std::string_view vm);
  /** Ends CutVm() or RefuseVm() for a node and closes its connections, because
     dropped bytes are never resent.

      @param vm  the node's name
  */
  void ReconnectVm(std::string_view vm);
  /** Ends CutVm() and RefuseVm() for all nodes. @see ReconnectVm */
  void ReconnectVms();

 private:
  struct Link;

  void Accept(Stream stream);
  void Forward(uint64_t link, bool to_server, std::string_view bytes);
  void Deliver(uint64_t link, bool to_server, std::string_view bytes);
  void CloseLink(uint64_t link);
  void CloseLinks(std::string_view vm);
  static void ReadVm(Link& link, std::string_view bytes);

  EventLoop& loop_;
  const SocketAddress listen_;
  const SocketAddress target_;
  StreamListener listener_;
  std::map<uint64_t, std::unique_ptr<Link>> links_;
  std::vector<std::unique_ptr<Link>> closed_links_;
  LinkFaults faults_;
  Duration answer_delay_{};
  std::set<std::string> cut_vms_;
  std::set<std::string> refused_vms_;
  uint64_t next_link_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_SOAK_LINK_PROXY_H_
