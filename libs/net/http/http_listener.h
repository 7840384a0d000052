#ifndef MAGNOLIAREEL_NET_HTTP_HTTP_LISTENER_H_
#define MAGNOLIAREEL_NET_HTTP_HTTP_LISTENER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "net/http/http_message.h"
#include "net/streams/stream_listener.h"

namespace magnoliareel::net {

/** A small HTTP/1.1 server for probes, metrics and calls between VMs. Replies
    may be sent synchronously or later; each connection handles one request at a
    time. */
class HttpListener {
 public:
  /** Sends the reply to a request; called once, on the loop's thread. Does
      nothing if the connection has been closed in the meantime. */
  using Answer = std::function<void(const Reply&)>;
  /** Handles a request and calls the given function with the reply. */
  using Responder = std::function<void(const Request&, Answer)>;

  /** @param loop     serves the listener; outlives it
      @param respond  called on the loop's thread with each request
  */
  HttpListener(EventLoop& loop, Responder respond);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /** Starts to listen.

      @param address  address to listen on
      @returns        the system error if the address cannot be used
  */
  std::error_code Listen(const SocketAddress& address);

 private:
  struct Connection;

  void Accept(Stream stream);
  void Send(uint64_t connection_id, const Reply& reply);

  Responder respond_;
  std::unordered_map<uint64_t, std::unique_ptr<Connection>> connections_;
  uint64_t next_connection_id_ = 1;
  StreamListener listener_;
};

}  // namespace magnoliareel::net

#endif  // MAGNOLIAREEL_NET_HTTP_HTTP_LISTENER_H_
