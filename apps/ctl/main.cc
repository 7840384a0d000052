#include <cstdio>
#include <span>
#include <string>

#include "apps/ctl/blocking_client.h"
#include "apps/ctl/ctl_settings.h"
#include "apps/ctl/document_commands.h"
#include "apps/ctl/fleet_commands.h"
#include "process/process.h"

namespace magnoliareel {
namespace {

int ReportUnknownCommand(const std::string& command) {
  std::fprintf(
      stderr,
      "COMMAND: unknown_name: '%s' is not a command with these arguments; "
      "see --help\n",
      command.c_str());
  return kExitBadSettings;
}

int RunCommand(const CtlSettings& settings) {
  const std::string& command = settings.arguments.front();
  const bool has_argument = settings.arguments.size() == 2;
  if (command == "check" && has_argument) {
    return DocumentCommands::Check(settings.arguments[1]);
  }
  if (settings.platform.host.empty()) {
    std::fputs("--platform: missing_field: must be given for this command\n",
               stderr);
    return kExitBadSettings;
  }
  BlockingClient client(settings.platform);
  DocumentCommands documents(settings, client);
  FleetCommands fleet(settings, client);
  if (has_argument) {
    const std::string& argument = settings.arguments[1];
    return command == "diff"       ? documents.Diff(argument)
           : command == "apply"    ? documents.Apply(argument)
           : command == "failover" ? fleet.Failover(argument)
                                   : ReportUnknownCommand(command);
  }
  const bool is_alone = settings.arguments.size() == 1;
  return is_alone && command == "promote"   ? documents.Promote()
         : is_alone && command == "history" ? documents.ShowHistory()
         : is_alone && command == "status"  ? fleet.ShowStatus()
                                            : ReportUnknownCommand(command);
}

int Run(std::span<char* const> args) {
  CtlSettings settings;
  Findings findings;
  if (const auto result = ParseCtlSettings(args, settings, findings);
      result != FlagResult::kRun) {
    return ReportSettingsFindings(result, findings);
  }
  return RunCommand(settings);
}

}  // namespace
}  // namespace magnoliareel

int main(int argc, char** argv) {
  return magnoliareel::Run({argv, static_cast<size_t>(argc)});
}
