#include <cstdio>
#include <span>

#include "process/process.h"
#include "settings/settings.h"
#include "standins/platform/platform_server.h"

namespace magnoliareel::standin {
namespace {

FlagResult ParseSettings(std::span<char* const> args,
                         PlatformSettings& out,
                         Findings& findings) {
  FlagTable table("standin-platform",
                  "The platform's table, objects and VM list for tests.");
  table.AddAddress("listen", "address to listen on", true, out.listen);
  table.AddNumber("writes-per-second", "writes accepted", 1, 1000000,
                  out.writes_per_second);
  table.AddNumber("reads-per-second", "reads accepted", 1, 1000000,
                  out.reads_per_second);
  return table.Parse(args, findings);
}

int Run(std::span<char* const> args) {
  BlockStopSignals();
  PlatformSettings settings;
  Findings findings;
  if (const auto result = ParseSettings(args, settings, findings);
      result != FlagResult::kRun) {
    return ReportSettings(result, findings);
  }
  PlatformServer server(settings);
  if (const auto ec = server.Start()) {
    std::fprintf(stderr, "%s: %s\n", settings.listen.Format().c_str(),
                 ec.message().c_str());
    return kExitCannotListen;
  }
  WaitForStopSignal();
  return kExitOk;
}

}  // namespace
}  // namespace magnoliareel::standin

int main(int argc, char** argv) {
  return magnoliareel::standin::Run({argv, static_cast<size_t>(argc)});
}
