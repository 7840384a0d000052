#ifndef MAGNOLIAREEL_TESTS_SOAK_DATABASE_FAULTS_H_
#define MAGNOLIAREEL_TESTS_SOAK_DATABASE_FAULTS_H_

#include <memory>
#include <span>
#include <string_view>

#include "standins/site/site_server.h"
#include "tests/soak/link_proxy.h"

namespace magnoliareel {

/** Injects faults into the databases of a site behind proxies. The proxy of a
    database that has ended refuses connections, as the host of the database
    would; one that is silent leaves them open without an answer. */
class DatabaseFaults {
 public:
  /** @param site     the site with the databases
      @param proxies  the proxy of each database
  */
  DatabaseFaults(SiteServer& site,
                 std::span<const std::unique_ptr<LinkProxy>> proxies);

  /** Injects a fault or ends it.

      @param fault   name of the fault without the member; see SiteServer
      @param member  index of the database
      @returns       false if the site has no such fault, or the address of the
                     proxy cannot be used
  */
  bool Inject(std::string_view fault, size_t member);

 private:
  SiteServer& site_;
  const std::span<const std::unique_ptr<LinkProxy>> proxies_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_SOAK_DATABASE_FAULTS_H_
