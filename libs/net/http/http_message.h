#ifndef MAGNOLIAREEL_NET_HTTP_HTTP_MESSAGE_H_
#define MAGNOLIAREEL_NET_HTTP_HTTP_MESSAGE_H_

#include <string>
#include <utility>
#include <vector>

namespace magnoliareel::net {

/** An HTTP request. */
struct Request {
  /** The HTTP method, such as "GET" or "POST". */
  std::string method;
  /** Path and query. */
  std::string target;
  /** Header names and values; HttpConnection adds Host and Content-Length. */
  std::vector<std::pair<std::string, std::string>> headers;
  /** Empty if there is none. */
  std::string body;
  /** Whether HttpConnection sends a GET once more if the server closes the
      connection, which may have been idle, without a reply. */
  bool retry_if_closed = true;
};

/** An HTTP reply. */
struct Reply {
  /** HTTP status, such as 200. */
  int status = 0;
  /** Empty if there is none. */
  std::string body;
  /** Header names and values; HttpListener adds Content-Length. */
  std::vector<std::pair<std::string, std::string>> headers = {};
};

}  // namespace magnoliareel::net

#endif  // MAGNOLIAREEL_NET_HTTP_HTTP_MESSAGE_H_
