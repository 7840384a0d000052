#ifndef MAGNOLIAREEL_NET_STREAMS_STREAM_LISTENER_H_
#define MAGNOLIAREEL_NET_STREAMS_STREAM_LISTENER_H_

#include <functional>
#include <system_error>

#include "net/streams/stream.h"

namespace magnoliareel {

/** Accepts TCP connections. @see Stream */
class StreamListener {
 public:
  /** @param loop    serves the listener; outlives it
      @param accept  receives each new connection and must call Stream::Serve()
  */
  StreamListener(EventLoop& loop, std::function<void(Stream)> accept);
  ~StreamListener() { Stop(); }
  StreamListener(const StreamListener&) = delete;
  StreamListener& operator=(const StreamListener&) = delete;

  /** Starts to accept connections.

      @param address  the local address
      @param receive_buffer_bytes  bound of the bytes of a connection that the
                      kernel holds unread (it may use twice as much); 0 for the
                      system's default
      @returns        the system error if the address cannot be used
  */
  std::error_code Listen(const SocketAddress& address,
                         int receive_buffer_bytes = 0);
  /** Stops accepting connections and closes the socket. */
  void Stop();

 private:
  struct State {
    uv_tcp_t handle{};
    StreamListener* owner = nullptr;
  };

  void AcceptConnection();

  EventLoop& loop_;
  std::function<void(Stream)> accept_;
  State* state_ = nullptr;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_NET_STREAMS_STREAM_LISTENER_H_
