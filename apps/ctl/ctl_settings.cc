#include "apps/ctl/ctl_settings.h"

namespace magnoliareel {

FlagResult ParseCtlSettings(std::span<char* const> args,
                            CtlSettings& out,
                            Findings& findings) {
  FlagTable table(
      "magnoliareelctl",
      "check FILE | diff FILE | apply FILE | promote | history | status | "
      "failover GROUP");
  table.AddAddress("platform", "address of the platform's service", false,
                   out.platform);
  table.AddText("environment", "environment that the command concerns", true,
                out.environment);
  table.AddText("trial", "environment that documents are promoted from", true,
                out.trial);
  table.AddText("operator", "your name, for the history", false,
                out.operator_name);
  table.AddNumber("expected-version",
                  "version that you read; -1 takes the present one", -1,
                  INT64_MAX, out.expected_version);
  table.AddNumber("json", "1 prints JSON", 0, 1, out.json);
  const FlagResult result = table.Parse(args, findings);
  out.words.assign(table.GetArguments().begin(), table.GetArguments().end());
  if (result == FlagResult::kRun && out.words.empty()) {
    findings.Add("COMMAND", Error::kMissingField, "must be given; see --help");
    return FlagResult::kInvalid;
  }
  return result;
}

}  // namespace magnoliareel
