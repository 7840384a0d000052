#include "tests/soak/database_faults.h"

#include <string>

#include "tests/soak/action_output.h"

namespace magnoliareel {

DatabaseFaults::DatabaseFaults(
    SiteServer& site,
    std::span<const std::unique_ptr<LinkProxy>> proxies)
    : site_(site), proxies_(proxies) {}

bool DatabaseFaults::Inject(std::string_view fault, size_t member) {
  if (!site_.InjectFault(std::string(fault) + "-" + std::to_string(member))) {
    return false;
  }
  PrintAction("fault " + std::string(fault), member);
  LinkProxy& proxy = *proxies_[member];
  if (fault == "crash" || fault == "leave") {
    proxy.Stop();
  } else if (fault == "restart" || fault == "join") {
    return !proxy.Start();
  }
  return true;
}

}  // namespace magnoliareel
