#ifndef MAGNOLIAREEL_APPS_SUPPORT_DEPLOYMENT_LOG_H_
#define MAGNOLIAREEL_APPS_SUPPORT_DEPLOYMENT_LOG_H_

#include <functional>
#include <memory>
#include <system_error>

#include "core/core.h"
#include "store/store.h"

namespace magnoliareel {

/** Creates event handlers for a deployment watcher that log each event and pass
    it on.

    @param on_change  called with each deployment that takes effect
    @param on_store_status   called when the store starts or stops answering;
    receives the error, or success
    @returns          the event handlers
*/
DeploymentEvents MakeLoggedEvents(
    std::function<void(std::shared_ptr<const Deployment>)> on_change,
    std::function<void(std::error_code)> on_store_status);

/** Logs that a program has started.

    @param program  name of the program
    @param vm       name of the VM it runs on
    @param listen   address it listens on
*/
void LogStarted(std::string_view program,
                std::string_view vm,
                const SocketAddress& listen);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_SUPPORT_DEPLOYMENT_LOG_H_
