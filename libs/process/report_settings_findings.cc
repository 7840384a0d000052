#include "process/report_settings_findings.h"

#include <cassert>
#include <cstdio>

namespace magnoliareel {

int ReportSettingsFindings(FlagResult result, const Findings& findings) {
  assert(result != FlagResult::kRun);
  if (result == FlagResult::kPrinted) {
    return kExitOk;
  }
  std::fputs(findings.FormatLines().c_str(), stderr);
  std::fputs("Run with --help for the list of flags.\n", stderr);
  return kExitBadSettings;
}

}  // namespace magnoliareel
