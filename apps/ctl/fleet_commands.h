#ifndef MAGNOLIAREEL_APPS_CTL_FLEET_COMMANDS_H_
#define MAGNOLIAREEL_APPS_CTL_FLEET_COMMANDS_H_

#include <string>
#include <vector>

#include "apps/ctl/blocking_client.h"
#include "apps/ctl/ctl_settings.h"
#include "messages/messages.h"

namespace magnoliareel {

/** The commands that query and control running poolers.

    Each command prints its result and returns the exit code of the program.

    @see ExitCode, DocumentCommands
*/
class FleetCommands {
 public:
  /** @param settings  settings of the program; must outlive this object
      @param client    client of the platform and the poolers; must outlive this
                       object
  */
  FleetCommands(const CtlSettings& settings, BlockingClient& client)
      : settings_(settings), client_(client) {}

  /** Prints the state of each VM's pooler: document version, groups and
      endpoints.

      @returns  kExitUnreachable if the list of VMs or any pooler cannot be read
  */
  int ShowStatus();
  /** Requests the promotion of a new primary from the pooler that drives the
      failover of a group.

      @param group  name of the group
      @returns      kExitFailed if no pooler accepts the request
  */
  int Failover(const std::string& group);

 private:
  void PrintStatus(const VmEntry& vm, const PoolerStatus& status) const;

  const CtlSettings& settings_;
  BlockingClient& client_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_CTL_FLEET_COMMANDS_H_
