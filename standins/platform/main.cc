#include <span>

#include "settings/settings.h"
#include "standins/platform/platform_server.h"
#include "standins/support/run_server.h"

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

}  // namespace
}  // namespace magnoliareel::standin

int main(int argc, char** argv) {
  using namespace magnoliareel::standin;
  return RunServer<PlatformServer>({argv, static_cast<size_t>(argc)},
                                   &ParseSettings);
}
