#include "apps/support/deployment_log.h"

#include <string>
#include <utility>

#include "telemetry/telemetry.h"

namespace magnoliareel {

DeploymentEvents MakeLoggedEvents(
    std::function<void(std::shared_ptr<const Deployment>)> on_change,
    std::function<void(std::error_code)> on_store_status) {
  DeploymentEvents events;
  events.on_change = [on_change = std::move(on_change), version = uint64_t{0}](
                         std::shared_ptr<const Deployment> deployment) mutable {
    if (deployment->version != version) {
      version = deployment->version;
      LogEvent(Event::kDocumentInForce, {{"version", std::to_string(version)},
                                         {"hash", deployment->hash}});
    }
    on_change(std::move(deployment));
  };
  events.on_rejected = [](uint64_t version, const Findings& findings) {
    LogEvent(Event::kDocumentRefused, {{"version", std::to_string(version)},
                                       {"findings", findings.FormatLines()}});
  };
  events.on_store_status =
      [on_store_status = std::move(on_store_status)](std::error_code ec) {
        if (ec) {
          LogEvent(Event::kStoreUnreachable,
                   {{"error", std::string(GetErrorName(ec))}});
        }
        on_store_status(ec);
      };
  return events;
}

void LogStarted(std::string_view program,
                std::string_view vm,
                const SocketAddress& listen) {
  LogEvent(Event::kStarted, {{"program", std::string(program)},
                             {"vm", std::string(vm)},
                             {"listen", listen.Format()},
                             {"version", MAGNOLIAREEL_VERSION}});
}

}  // namespace magnoliareel
