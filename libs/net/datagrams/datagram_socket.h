#ifndef MAGNOLIAREEL_NET_DATAGRAMS_DATAGRAM_SOCKET_H_
#define MAGNOLIAREEL_NET_DATAGRAMS_DATAGRAM_SOCKET_H_

#include <functional>
#include <string_view>
#include <system_error>

#include "net/loop/event_loop.h"
#include "settings/settings.h"

namespace magnoliareel {

/** A UDP socket on an event loop. Delivery is not guaranteed. */
class DatagramSocket {
 public:
  /** @param loop     serves the socket; outlives it
      @param receive  called on the loop's thread with each datagram's bytes
  */
  DatagramSocket(EventLoop& loop,
                 std::function<void(std::string_view)> receive);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /** Binds the socket and starts to receive.

      @param address  the local address
      @returns        the system error if the address cannot be used
  */
  std::error_code Bind(const SocketAddress& address);
  /** Sends a datagram, or drops it if the kernel cannot accept it immediately.

      @param address  the destination
      @param bytes    at most 1,400 bytes, to avoid IP fragmentation
  */
  void Send(const SocketAddress& address, std::string_view bytes);

 private:
  // Outlives the socket until the close callback of libuv deletes it.
  struct State {
    uv_udp_t handle{};
    std::function<void(std::string_view)> receive;
  };

  State* state_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_NET_DATAGRAMS_DATAGRAM_SOCKET_H_
