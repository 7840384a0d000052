#include <csignal>
#include <cstdio>
#include <span>

#include "net/net.h"
#include "process/process.h"
#include "settings/settings.h"
#include "tests/soak/soak_run.h"

namespace magnoliareel {
namespace {

constexpr int kExitBroken = 1;

int Run(std::span<char* const> args) {
  SoakSettings settings;
  FlagTable flags("soak", "one run of the fault soak; see scripts/run-soak");
  flags.AddNumber("base-port", "first of the run's ports", 1, 65000,
                  settings.base_port);
  flags.AddNumber("seed", "of every choice", 0, 1'000'000'000, settings.seed);
  flags.AddNumber("nodes", "nodes under test", 1, 9, settings.nodes);
  flags.AddNumber("callers", "callers on each node", 1, 100,
                  settings.callers_per_node);
  flags.AddNumber("faults", "faults in a run", 0, 1000, settings.faults);
  flags.AddNumber("faults-s", "seconds with faults", 1, 3600,
                  settings.faults_s);
  Findings findings;
  if (const FlagResult result = flags.Parse(args, findings);
      result != FlagResult::kRun) {
    return ReportSettingsFindings(result, findings);
  }
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  SoakRun run(loop, settings);
  if (const std::error_code ec = run.Start()) {
    std::fprintf(stderr, "cannot listen: %s\n", ec.message().c_str());
    return kExitCannotListen;
  }
  loop.Run();
  const auto broken = run.Check();
  for (const std::string& it : broken) {
    std::fprintf(stderr, "seed %lld: %s\n",
                 static_cast<long long>(settings.seed), it.c_str());
  }
  std::fprintf(stderr, "seed %lld: %zu operations, %zu promises broken\n",
               static_cast<long long>(settings.seed), run.CountOperations(),
               broken.size());
  return broken.empty() ? 0 : kExitBroken;
}

}  // namespace
}  // namespace magnoliareel

int main(int argc, char** argv) {
  return magnoliareel::Run({argv, static_cast<size_t>(argc)});
}
