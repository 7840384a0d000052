#include <cstdio>
#include <fstream>
#include <iterator>
#include <span>
#include <string>

#include "codec/codec.h"
#include "history/history.h"
#include "process/process.h"
#include "settings/settings.h"

namespace magnoliareel {
namespace {

/** Settings of magnoliareel-check. */
struct HistoryCheckSettings {
  /** File of the recorded history. */
  std::string history;
  /** Maximum number of violations that are printed. */
  int64_t max_printed = 20;
};

FlagResult ParseCheckSettings(std::span<char* const> args,
                              HistoryCheckSettings& out,
                              Findings& findings) {
  FlagTable table(
      "magnoliareel-check",
      "Checks a recorded history of concurrent callers for violations of the "
      "consistency guarantees.");
  table.AddText("history", "file with one operation on each line", true,
                out.history);
  table.AddNumber("max-printed", "maximum number of violations to print", 1,
                  1000000, out.max_printed);
  return table.Parse(args, findings);
}

int Check(const HistoryCheckSettings& settings) {
  std::ifstream file(settings.history);
  if (!file) {
    std::fprintf(stderr, "%s: cannot be read\n", settings.history.c_str());
    return kExitFailed;
  }
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  Findings findings;
  const std::vector<Operation> operations = ParseHistory(text, findings);
  if (!findings.IsEmpty()) {
    std::fputs(findings.FormatLines().c_str(), stderr);
    return kExitFindings;
  }
  const std::vector<Violation> violations = CheckHistory(operations);
  int64_t printed = 0;
  for (const Violation& it : violations) {
    if (printed++ == settings.max_printed) {
      break;
    }
    std::printf("%s: %s: %s\n",
                std::string(GetHistoryRuleName(it.rule)).c_str(),
                it.request.c_str(), it.detail.c_str());
  }
  std::printf("%zu operations, %zu violations\n", operations.size(),
              violations.size());
  return violations.empty() ? kExitOk : kExitFindings;
}

int Run(std::span<char* const> args) {
  HistoryCheckSettings settings;
  Findings findings;
  if (const auto result = ParseCheckSettings(args, settings, findings);
      result != FlagResult::kRun) {
    return ReportSettingsFindings(result, findings);
  }
  return Check(settings);
}

}  // namespace
}  // namespace magnoliareel

int main(int argc, char** argv) {
  return magnoliareel::Run({argv, static_cast<size_t>(argc)});
}
