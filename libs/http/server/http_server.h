#ifndef MAGNOLIAREEL_HTTP_SERVER_HTTP_SERVER_H_
#define MAGNOLIAREEL_HTTP_SERVER_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <system_error>

#include "core/core.h"
#include "http/server/http_responder.h"
#include "settings/settings.h"

namespace magnoliareel {

/** Limits of a listening server. */
struct HttpServerOptions {
  /** Where to listen; port 0 picks a free one. */
  SocketAddress listen;
  /** Largest body accepted, in bytes. */
  size_t max_body_bytes = 256 * 1024;
  /** Most connections open at a time. */
  unsigned max_connections = 4096;
  /** Threads that read and write connections. */
  unsigned threads = 1;
  /** A connection without traffic for so long is closed, in seconds. */
  unsigned idle_seconds = 300;
};

/** Accepts HTTP/1.1 requests and hands each, whole, to a handler.

    The handler runs on a traffic thread and must not block; it answers through
    the responder at once or later.
*/
class HttpServer {
 public:
  /** Receives each request. */
  using Handler = std::function<void(HttpRequest, HttpResponder)>;

  /** @param options  limits and address
      @param handler  receives each request
  */
  HttpServer(HttpServerOptions options, Handler handler);
  /** Closes every connection. @see Drain */
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Begins to listen.

      @returns  kListenFailed if the address cannot be used
  */
  std::error_code Start();

  /** @returns the port listened on */
  uint16_t GetPort() const;

  /** @returns the number of requests that wait for their answer */
  size_t CountInProgress() const;

  /** Accepts no more connections, and waits until no request is in progress.

      @param limit  longest wait
      @returns      false if requests were still in progress at the limit
  */
  bool Drain(Duration limit);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_HTTP_SERVER_HTTP_SERVER_H_
