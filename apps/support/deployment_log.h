#ifndef MAGNOLIAREEL_APPS_SUPPORT_DEPLOYMENT_LOG_H_
#define MAGNOLIAREEL_APPS_SUPPORT_DEPLOYMENT_LOG_H_

#include <functional>
#include <memory>
#include <system_error>

#include "core/core.h"
#include "store/store.h"

namespace magnoliareel {

/** Makes the events of a deployment watcher: they are logged and passed on.

    @param on_change  receives each deployment that takes effect
    @param on_store   learns whether the platform answers
    @returns          the events
*/
DeploymentEvents MakeLoggedEvents(
    std::function<void(std::shared_ptr<const Deployment>)> on_change,
    std::function<void(std::error_code)> on_store);

/** Logs a started program.

    @param program  its name
    @param vm       its VM
    @param listen   its address
*/
void LogStarted(std::string_view program,
                std::string_view vm,
                const SocketAddress& listen);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_SUPPORT_DEPLOYMENT_LOG_H_
