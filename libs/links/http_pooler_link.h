#ifndef MAGNOLIAREEL_LINKS_HTTP_POOLER_LINK_H_
#define MAGNOLIAREEL_LINKS_HTTP_POOLER_LINK_H_

#include <string>

#include "core/core.h"
#include "entry/pooler_link.h"
#include "http/http.h"

namespace magnoliareel {

/** Calls poolers over HTTP; replies arrive on the traffic thread of the HTTP
    client.

    @see PoolerLink
*/
class HttpPoolerLink {
 public:
  /** @param client  HTTP client; must outlive the link */
  explicit HttpPoolerLink(HttpClient& client) : client_(client) {}

  /** Sends a request to a pooler. @see PoolerLink */
  void Call(const std::string& address,
            const PoolerRequest& request,
            Duration timeout,
            PoolerReplyCompletion done);

  /** Checks whether a pooler answers. @see PoolerLink */
  void Ping(const std::string& address,
            Duration timeout,
            const PingCompletion& done);

 private:
  HttpClient& client_;
};

static_assert(PoolerLink<HttpPoolerLink>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_LINKS_HTTP_POOLER_LINK_H_
