#ifndef MAGNOLIAREEL_STANDINS_SUPPORT_RUN_SERVER_H_
#define MAGNOLIAREEL_STANDINS_SUPPORT_RUN_SERVER_H_

#include <cstdio>
#include <span>

#include "core/core.h"
#include "process/process.h"
#include "settings/settings.h"

namespace magnoliareel::standin {

/** Runs a stand-in until a stop signal.

    @tparam Server    made from the settings, with Start()
    @tparam Settings  with a member `listen`
    @param args       the program's arguments
    @param parse      reads the settings
    @returns          the exit code
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
    std::fprintf(stderr, "%s: %s\n", settings.listen.Format().c_str(),
                 ec.message().c_str());
    return kExitCannotListen;
  }
  WaitForStopSignal();
  return kExitOk;
}

}  // namespace magnoliareel::standin

#endif  // MAGNOLIAREEL_STANDINS_SUPPORT_RUN_SERVER_H_
