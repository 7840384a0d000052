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

/** One call to make. */
struct HttpCall {
  /** Whom to call. */
  SocketAddress address;
  /** Path, with a leading slash. */
  std::string path;
  /** Body of the POST; an empty body makes a GET. */
  std::string body;
  /** Further header lines, "Name: value". */
  std::vector<std::string> headers;
  /** Longest time until the whole answer has arrived. */
  Duration timeout{0};
  /** Longest answer accepted, in bytes. */
  size_t max_response_bytes = 4 * 1024 * 1024;
};

/** How a call ended. */
struct HttpResult {
  /** Empty if an answer arrived; kUnreachable if nothing of the request was
      sent; kAnswerLost if it may have been received; kAnswerTooLarge. */
  std::error_code ec;
  /** HTTP status code. */
  int status = 0;
  /** Body of the answer. */
  std::string body;
};

/** Makes HTTP/1.1 calls without blocking its users, over kept connections.

    A request whose body was sent is never sent again by the client itself.
*/
class HttpClient {
 public:
  /** Receives the end of a call; runs on the client's traffic thread and must
      not block. */
  using Completion = std::function<void(HttpResult)>;

  HttpClient();
  /** Ends every call in progress with kAnswerLost. */
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Starts a call; from any thread.

      @param call  what to send
      @param done  called exactly once
  */
  void Send(HttpCall call, Completion done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_HTTP_CLIENT_HTTP_CLIENT_H_
