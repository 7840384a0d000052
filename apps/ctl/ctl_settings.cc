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
  table.AddText("environment", "environment that the command reads or changes",
                true, out.environment);
  table.AddText("trial", "environment whose document is promoted", true,
                out.trial_environment);
  table.AddText("operator", "your name, recorded in the history", false,
                out.operator_name);
  table.AddNumber("expected-version",
                  "version that must be in force for a change; -1 accepts any",
                  -1, INT64_MAX, out.expected_version);
  table.AddNumber("json", "1 prints the status as JSON", 0, 1, out.print_json);
  const FlagResult result = table.Parse(args, findings);
  out.arguments.assign(table.GetArguments().begin(),
                       table.GetArguments().end());
  if (result == FlagResult::kRun && out.arguments.empty()) {
    findings.Add("COMMAND", Error::kMissingField, "must be given; see --help");
    return FlagResult::kInvalid;
  }
  return result;
}

}  // namespace magnoliareel
