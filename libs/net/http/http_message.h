#ifndef MAGNOLIAREEL_NET_HTTP_HTTP_MESSAGE_H_
#define MAGNOLIAREEL_NET_HTTP_HTTP_MESSAGE_H_

#include <string>
#include <utility>
#include <vector>

namespace magnoliareel::net {

/** One request. */
struct Request {
  /** "GET", "POST" and so on. */
  std::string method;
  /** Path and query. */
  std::string target;
  /** Header lines beside Host and Content-Length, name and value. */
  std::vector<std::pair<std::string, std::string>> headers;
  /** Empty if there is none. */
  std::string body;
};

/** One answer. */
struct Reply {
  /** HTTP status, such as 200. */
  int status = 0;
  /** Empty if there is none. */
  std::string body;
};

}  // namespace magnoliareel::net

#endif  // MAGNOLIAREEL_NET_HTTP_HTTP_MESSAGE_H_
