#include <span>

#include "apps/pooler/pooler_process.h"
#include "apps/pooler/pooler_settings.h"
#include "process/process.h"
#include "settings/settings.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {
namespace {

int Run(std::span<char* const> args) {
  BlockStopSignals();
  PoolerSettings settings;
  Findings findings;
  if (const auto result = ParsePoolerSettings(args, settings, findings);
      result != FlagResult::kRun) {
    return ReportSettings(result, findings);
  }
  StartLog();
  PoolerProcess process(std::move(settings));
  if (process.Start()) {
    return kExitCannotListen;
  }
  WaitForStopSignal();
  process.Stop();
  return kExitOk;
}

}  // namespace
}  // namespace magnoliareel

int main(int argc, char** argv) {
  return magnoliareel::Run({argv, static_cast<size_t>(argc)});
}
