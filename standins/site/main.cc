#include <csignal>
#include <cstdio>
#include <span>

#include "net/net.h"
#include "process/process.h"
#include "settings/settings.h"
#include "standins/site/site_server.h"

namespace magnoliareel {
namespace {

int Run(std::span<char* const> args) {
  SiteSettings settings;
  FlagTable flags("standin-site",
                  "a users' site for tests: store, promotions, databases");
  flags.AddText("host", "IPv4 address to listen on", true, settings.host);
  flags.AddNumber("base-port", "first of four ports", 1, 65000,
                  settings.base_port);
  int64_t connections = settings.group.max_connections;
  flags.AddNumber("connections", "connections that each database accepts", 1,
                  1000, connections);
  Findings findings;
  if (const FlagResult result = flags.Parse(args, findings);
      result != FlagResult::kRun) {
    return ReportSettingsFindings(result, findings);
  }
  settings.group.max_connections = static_cast<uint32_t>(connections);
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  SiteServer server(loop, settings);
  if (const std::error_code ec = server.Start()) {
    std::fprintf(stderr, "cannot listen: %s\n", ec.message().c_str());
    return kExitCannotListen;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  loop.Run();
  return kExitOk;
}

}  // namespace
}  // namespace magnoliareel

int main(int argc, char** argv) {
  return magnoliareel::Run({argv, static_cast<size_t>(argc)});
}
