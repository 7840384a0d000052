#ifndef MAGNOLIAREEL_NET_HTTP_HTTP_LISTENER_H_
#define MAGNOLIAREEL_NET_HTTP_HTTP_LISTENER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "net/http/http_message.h"
#include "net/streams/stream_listener.h"

namespace magnoliareel::net {

/** Answers HTTP requests, at once or later; each connection one at a time. */
class HttpListener {
 public:
  /** Sends the answer; called once, on the loop's thread. Does nothing if the
      connection has ended meanwhile. */
  using Answer = std::function<void(const Reply&)>;
  /** Sees to the answer of a request. */
  using Responder = std::function<void(const Request&, Answer)>;

  /** @param loop     serves the listener; outlives it
      @param respond  called on the loop's thread
  */
  HttpListener(EventLoop& loop, Responder respond);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /** Starts to listen.

      @param address  where to listen
      @returns        the system's error if the address cannot be used
  */
  std::error_code Listen(const SocketAddress& address);

 private:
  struct Peer;

  void Accept(Stream stream);
  void Send(uint64_t peer, const Reply& reply);

  Responder respond_;
  std::unordered_map<uint64_t, std::unique_ptr<Peer>> peers_;
  uint64_t next_peer_ = 1;
  StreamListener listener_;
};

}  // namespace magnoliareel::net

#endif  // MAGNOLIAREEL_NET_HTTP_HTTP_LISTENER_H_
