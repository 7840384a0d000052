#include "apps/entry/entry_settings.h"

#include "links/links.h"

namespace magnoliareel {
namespace {

std::string ParseTokenKeys(std::string_view text,
                           std::vector<SealingKey>& out) {
  while (!text.empty()) {
    const size_t comma = text.find(',');
    SealingKey key{};
    if (!ParseSealingKey(text.substr(0, comma), key)) {
      return "each key must consist of 64 hex digits";
    }
    out.push_back(key);
    text = comma == std::string_view::npos ? std::string_view()
                                           : text.substr(comma + 1);
  }
  return {};
}

}  // namespace

FlagResult ParseEntrySettings(std::span<char* const> args,
                              EntrySettings& out,
                              Findings& findings) {
  FlagTable table(
      "magnoliareel-entry",
      "Accepts callers' requests and forwards their statements to poolers.");
  table.AddAddress("listen", "address to listen on", true, out.listen);
  table.AddAddress("platform", "address of the platform's service", true,
                   out.platform);
  table.AddText("environment",
                "environment whose rows in the platform's table are read", true,
                out.environment);
  table.AddText("vm", "name of this VM in the platform's list", true, out.vm);
  table.AddText("site", "name of this VM's site in the document", true,
                out.site);
  table.AddParsed(
      "peers",
      "poolers to ask for the document before the list of VMs is known: "
      "HOST:PORT,...",
      [&out](std::string_view text) { return ParsePeerList(text, out.peers); });
  table.AddParsed(
      "token-keys",
      "keys of session tokens, 64 hex digits each; the first seals new tokens",
      [&out](std::string_view text) {
        return ParseTokenKeys(text, out.token_keys);
      });
  table.AddText("policy", "standard, or the name of a baseline for experiments",
                true, out.policy);
  table.AddNumber("max-connections", "maximum number of caller connections", 1,
                  1000000, out.max_connections);
  table.AddNumber("max-body-bytes", "maximum size of a request body, bytes",
                  1024, 16777216, out.max_body_bytes);
  table.AddNumber("threads", "number of threads for caller connections", 1, 64,
                  out.threads);
  table.AddNumber("drain-ms",
                  "maximum wait for requests in progress when stopping, ms", 0,
                  3600000, out.drain_ms);
  const FlagResult result = table.Parse(args, findings);
  if (result == FlagResult::kPrinted || !out.token_keys.empty()) {
    return result;
  }
  findings.Add("--token-keys", Error::kMissingField,
               "at least one key must be given");
  return FlagResult::kInvalid;
}

}  // namespace magnoliareel
