#ifndef MAGNOLIAREEL_HTTP_SERVER_HTTP_SERVER_H_
#define MAGNOLIAREEL_HTTP_SERVER_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <system_error>

#include "core/core.h"
#include "http/server/http_responder.h"
#include "settings/settings.h"

namespace magnoliareel {

/** Address and limits of an HttpServer. */
struct HttpServerOptions {
  /** Address to listen on; port 0 picks a free port. */
  SocketAddress listen;
  /** Largest request body accepted, in bytes. */
  size_t max_body_bytes = 256 * 1024;
  /** Maximum number of open connections. */
  unsigned max_connections = 4096;
  /** Number of threads that serve connections. */
  unsigned threads = 1;
  /** Time after which an idle connection is closed, in seconds. */
  unsigned idle_seconds = 300;
};

/** Asynchronous HTTP/1.1 server that passes completely received requests to a
    handler.

    The handler runs on a thread of the server and must not block. It responds
    through the responder, immediately or later.
*/
class HttpServer {
 public:
  /** Handles a request. @see HttpResponder */
  using Handler = std::function<void(HttpRequest, HttpResponder)>;

  /** @param options  address and limits
      @param handler  called for each request
  */
  HttpServer(HttpServerOptions options, Handler handler);
  /** Closes every connection. @see Drain */
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Starts to listen.

      @returns  Error::kListenFailed if the address cannot be used
  */
  std::error_code Start();

  /** @returns the port that the server listens on */
  uint16_t GetPort() const;

  /** @returns the number of requests without a response */
  size_t CountInProgress() const;

  /** Waits until no request is in progress, then stops accepting connections.

      New connections are accepted until then, because clients that check
      whether the process lives would otherwise abandon requests that are in
      progress. The handler must reject new work at once.

      @param timeout  longest wait
      @returns        false if requests were still in progress after the timeout
  */
  bool Drain(Duration timeout);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_HTTP_SERVER_HTTP_SERVER_H_
