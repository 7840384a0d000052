#ifndef MAGNOLIAREEL_NET_HTTP_HTTP_LISTENER_H_
#define MAGNOLIAREEL_NET_HTTP_HTTP_LISTENER_H_

#include <functional>
#include <memory>
#include <unordered_map>

#include "net/http/http_message.h"
#include "net/streams/stream_listener.h"

namespace magnoliareel::net {

/** Answers HTTP requests at once, from state at hand. */
class HttpListener {
 public:
  /** Makes the answer to a request. */
  using Responder = std::function<Reply(const Request&)>;

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

  Responder respond_;
  std::unordered_map<Peer*, std::unique_ptr<Peer>> peers_;
  StreamListener listener_;
};

}  // namespace magnoliareel::net

#endif  // MAGNOLIAREEL_NET_HTTP_HTTP_LISTENER_H_
