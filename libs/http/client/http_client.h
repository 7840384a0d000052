#ifndef MAGNOLIAREEL_HTTP_CLIENT_HTTP_CLIENT_H_
#define MAGNOLIAREEL_HTTP_CLIENT_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "core/core.h"
#include "settings/settings.h"

namespace magnoliareel {

/** An HTTP request to send. */
struct HttpCall {
  /** Address of the server. */
  SocketAddress address;
  /** Path and query, with a leading slash. */
  std::string path;
  /** Body of a POST request; if empty, a GET request is sent. */
  std::string body;
  /** Additional header lines, as "Name: value". */
  std::vector<std::string> headers;
  /** Longest time until the response has arrived completely. */
  Duration timeout{0};
  /** Largest response body accepted, in bytes. */
  size_t max_response_bytes = 4 * 1024 * 1024;
};

/** Result of a call. */
struct HttpResult {
  /** No error if a response arrived; Error::kUnreachable if nothing of the
      request body, or of a request without a body, was sent; Error::kAnswerLost
     if the server may have received the request; Error::kAnswerTooLarge if the
     response exceeded the limit. */
  std::error_code ec;
  /** HTTP status code; valid without an error only. */
  int status = 0;
  /** Body of the response. */
  std::string body;
};

/** Asynchronous HTTP/1.1 client with persistent connections.

    The client never resends a request body on its own, so that a call is not
    executed twice.
*/
class HttpClient {
 public:
  /** Receives the result of a call; runs on the thread of the client and must
      not block. */
  using Completion = std::function<void(HttpResult)>;

  HttpClient();
  /** Completes all calls in progress with Error::kAnswerLost, and those that
      were not started with Error::kUnreachable. */
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Starts a call; may be called from any thread.

      @param call  the request
      @param done  called exactly once
  */
  void Send(HttpCall call, Completion done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_HTTP_CLIENT_HTTP_CLIENT_H_
