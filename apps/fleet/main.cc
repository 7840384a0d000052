#include <csignal>
#include <cstdio>
#include <span>
#include <string>

#include "apps/fleet/fleet_reader.h"
#include "apps/fleet/fleet_report.h"
#include "net/net.h"
#include "process/process.h"
#include "settings/settings.h"

namespace magnoliareel {
namespace {

int Run(std::span<char* const> args) {
  SocketAddress store;
  std::string format = "table";
  FlagTable flags("magnoliareel-fleet",
                  "shows nodes, endpoints and duties of a deployment");
  flags.AddAddress("store", "the platform's store", true, store);
  flags.AddText("format", "table or json", true, format);
  Findings findings;
  FlagResult result = flags.Parse(args, findings);
  if (result == FlagResult::kRun && format != "table" && format != "json") {
    findings.Add("--format", Error::kBadSetting, "table or json is expected");
    result = FlagResult::kInvalid;
  }
  if (result != FlagResult::kRun) {
    return ReportSettingsFindings(result, findings);
  }
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  FleetReader reader(loop, store);
  FleetReport report;
  if (const std::error_code ec = reader.Read(report)) {
    std::fprintf(stderr, "the store at %s cannot be read: %s\n",
                 store.Format().c_str(), ec.message().c_str());
    return kExitUnreachable;
  }
  const std::string text =
      format == "json" ? FormatJson(report) : FormatTables(report);
  std::fputs(text.c_str(), stdout);
  return kExitOk;
}

}  // namespace
}  // namespace magnoliareel

int main(int argc, char** argv) {
  return magnoliareel::Run({argv, static_cast<size_t>(argc)});
}
