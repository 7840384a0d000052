#include "apps/node/node_flags.h"

namespace magnoliareel {

FlagResult ParseNodeFlags(std::span<char* const> args,
                          NodeFlags& out,
                          Findings& findings) {
  FlagTable flags("magnoliareel-node",
                  "serves callers' sessions on pooled connections; with the "
                  "argument \"check\", only checks the settings file");
  flags.AddText("boot", "path of the settings file", true, out.boot);
  flags.AddNumber("metrics-port",
                  "port for metrics on the VM's address; 0: none", 0, 65535,
                  out.metrics_port);
  const FlagResult result = flags.Parse(args, findings);
  for (const std::string& it : flags.GetArguments()) {
    if (it == "check") {
      out.check = true;
    } else {
      findings.Add(it, Error::kUnknownFlag, "the only argument is \"check\"");
    }
  }
  return result == FlagResult::kRun && !findings.IsEmpty()
             ? FlagResult::kInvalid
             : result;
}

}  // namespace magnoliareel
