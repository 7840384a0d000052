#ifndef MAGNOLIAREEL_APPS_CTL_FLEET_COMMANDS_H_
#define MAGNOLIAREEL_APPS_CTL_FLEET_COMMANDS_H_

#include <string>
#include <vector>

#include "apps/ctl/blocking_client.h"
#include "apps/ctl/ctl_settings.h"
#include "messages/messages.h"

namespace magnoliareel {

/** The commands that ask and direct running poolers. Each prints what it did
    and returns the program's exit code. */
class FleetCommands {
 public:
  /** @param settings  of the program  @param access  to the platform */
  FleetCommands(const CtlSettings& settings, BlockingClient& access)
      : settings_(settings), access_(access) {}

  /** Shows VMs, documents, groups and endpoints. */
  int ShowStatus();
  /** Orders a change of primary. @param group  its name */
  int Failover(const std::string& group);

 private:
  void PrintStatus(const VmEntry& vm, const PoolerStatus& status) const;

  const CtlSettings& settings_;
  BlockingClient& access_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_CTL_FLEET_COMMANDS_H_
