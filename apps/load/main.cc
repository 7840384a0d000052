#include <cstdio>
#include <fstream>
#include <future>
#include <span>
#include <string>

#include "apps/load/load_run.h"
#include "apps/load/load_settings.h"
#include "codec/codec.h"
#include "process/process.h"

namespace magnoliareel {
namespace {

constexpr size_t kLoopCapacity = 100000;

bool WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.close();
  if (!file) {
    std::fprintf(stderr, "%s: cannot be written\n", path.c_str());
  }
  return bool(file);
}

bool WriteResults(const LoadSettings& settings, const LoadRun& run) {
  std::fputs(run.GetReport().FormatTable().c_str(), stdout);
  bool is_written = true;
  if (!settings.report.empty()) {
    is_written &=
        WriteFile(settings.report, run.GetReport().FormatJsonText() + "\n");
  }
  if (!settings.history.empty()) {
    std::string text;
    for (const Operation& it : run.GetHistory()) {
      text += FormatOperation(it) + "\n";
    }
    is_written &= WriteFile(settings.history, text);
  }
  return is_written;
}

int Run(std::span<char* const> args) {
  LoadSettings settings;
  Findings findings;
  if (const auto result = ParseLoadSettings(args, settings, findings);
      result != FlagResult::kRun) {
    return ReportSettingsFindings(result, findings);
  }
  ControlLoop loop(kLoopCapacity);
  LoadRun run(settings, loop);
  std::promise<void> finished;
  loop.Post([&] { run.Start([&finished] { finished.set_value(); }); });
  finished.get_future().wait();
  loop.Stop();
  return WriteResults(settings, run) ? kExitOk : kExitFailed;
}

}  // namespace
}  // namespace magnoliareel

int main(int argc, char** argv) {
  return magnoliareel::Run({argv, static_cast<size_t>(argc)});
}
