#include "apps/pooler/pooler_settings.h"

namespace magnoliareel {

FlagResult ParsePoolerSettings(std::span<char* const> args,
                               PoolerSettings& out,
                               Findings& findings) {
  FlagTable table(
      "magnoliareel-pooler",
      "Owns connections and slots of endpoints and drives the failover of "
      "groups.");
  table.AddAddress("listen", "address to listen on", true, out.listen);
  table.AddAddress("platform", "address of the platform's service", true,
                   out.platform);
  table.AddText("environment",
                "environment whose rows in the platform's table are used", true,
                out.environment);
  table.AddText("vm", "name of this VM in the platform's list", true, out.vm);
  table.AddParsed(
      "endpoints", "addresses of endpoints: NAME=HOST:PORT,...",
      [&out](std::string_view text) { return out.endpoints.Parse(text); });
  table.AddParsed(
      "peers",
      "poolers to ask for the document before the list of VMs is known: "
      "HOST:PORT,...",
      [&out](std::string_view text) { return ParsePeerList(text, out.peers); });
  table.AddText("policy", "standard, or the name of a baseline for experiments",
                true, out.policy);
  table.AddNumber(
      "suspect-ms",
      "time without an answer after which a primary is suspected lost, ms", 50,
      60000, out.suspect_timeout_ms);
  table.AddNumber("drain-ms",
                  "maximum wait for requests in progress when stopping, ms", 0,
                  3600000, out.drain_ms);
  table.AddNumber("transaction-grace-ms",
                  "time for open transactions to end when stopping, ms", 0,
                  3600000, out.transaction_grace_period_ms);
  return table.Parse(args, findings);
}

}  // namespace magnoliareel
