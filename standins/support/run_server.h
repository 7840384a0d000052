#ifndef MAGNOLIAREEL_STANDINS_SUPPORT_RUN_SERVER_H_
#define MAGNOLIAREEL_STANDINS_SUPPORT_RUN_SERVER_H_

#include <cstdio>
#include <span>

#include "core/core.h"
#include "process/process.h"
#include "settings/settings.h"

namespace magnoliareel::standin {

/** Runs a stand-in server until the process receives a stop signal.

    @tparam Server    class with a constructor from Settings and Start()
    @tparam Settings  settings with an address `listen`
    @param args       command line of the program
    @param parse      parses the command line into the settings
    @returns          exit code of the program
*/
template <class Server, class Settings>
int RunServer(std::span<char* const> args,
              FlagResult (*parse)(std::span<char* const>,
                                  Settings&,
                                  Findings&)) {
  BlockStopSignals();
  Settings settings;
  Findings findings;
  if (const auto result = parse(args, settings, findings);
      result != FlagResult::kRun) {
    return ReportSettingsFindings(result, findings);
  }
  Server server(settings);
  if (const auto ec = server.Start()) {
    std::fprintf(stderr, "cannot listen on %s: %s\n",
                 settings.listen.Format().c_str(), ec.message().c_str());
    return kExitCannotListen;
  }
  WaitForStopSignal();
  return kExitOk;
}

}  // namespace magnoliareel::standin

#endif  // MAGNOLIAREEL_STANDINS_SUPPORT_RUN_SERVER_H_
