#ifndef MAGNOLIAREEL_LINKS_HTTP_POOLER_LINK_H_
#define MAGNOLIAREEL_LINKS_HTTP_POOLER_LINK_H_

#include <string>

#include "core/core.h"
#include "entry/pooler_link.h"
#include "http/http.h"

namespace magnoliareel {

/** Calls poolers over HTTP; replies arrive on the client's traffic thread.

    @see PoolerLink
*/
class HttpPoolerLink {
 public:
  /** @param client  makes the calls */
  explicit HttpPoolerLink(HttpClient& client) : client_(client) {}

  /** @see PoolerLink */
  void Call(const std::string& address,
            const PoolerRequest& request,
            Duration timeout,
            PoolerReplyCompletion done);

  /** @see PoolerLink */
  void Ping(const std::string& address,
            Duration timeout,
            const PingCompletion& done);

 private:
  HttpClient& client_;
};

static_assert(PoolerLink<HttpPoolerLink>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_LINKS_HTTP_POOLER_LINK_H_
