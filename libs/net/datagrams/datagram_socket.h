#ifndef MAGNOLIAREEL_NET_DATAGRAMS_DATAGRAM_SOCKET_H_
#define MAGNOLIAREEL_NET_DATAGRAMS_DATAGRAM_SOCKET_H_

#include <functional>
#include <string_view>
#include <system_error>

#include "net/loop/event_loop.h"
#include "settings/settings.h"

namespace magnoliareel {

/** A UDP socket on an event loop; datagrams may be lost. */
class DatagramSocket {
 public:
  /** @param loop     serves the socket; outlives it
      @param receive  takes each datagram's bytes
  */
  DatagramSocket(EventLoop& loop,
                 std::function<void(std::string_view)> receive);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /** Starts to receive.

      @param address  the local address
      @returns        the system's error if the address cannot be used
  */
  std::error_code Bind(const SocketAddress& address);
  /** Sends a datagram, or drops it if the kernel does not take it now.

      @param address  the receiver
      @param bytes    at most 1,400, so that no network splits it
  */
  void Send(const SocketAddress& address, std::string_view bytes);

 private:
  struct State {
    uv_udp_t handle{};
    std::function<void(std::string_view)> receive;
  };

  State* state_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_NET_DATAGRAMS_DATAGRAM_SOCKET_H_
