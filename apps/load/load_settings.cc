#include "apps/load/load_settings.h"

#include <charconv>

#include "links/links.h"

namespace magnoliareel {
namespace {

constexpr int64_t kMillisecondsPerDay = 24 * 3600 * 1000;

std::string ParseCallers(std::string_view text, std::vector<LoadCaller>& out) {
  while (!text.empty()) {
    const size_t comma = text.find(',');
    const std::string_view entry = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view()
                                           : text.substr(comma + 1);
    const size_t equals = entry.find('=');
    if (equals == 0 || equals == std::string_view::npos) {
      return "'" + std::string(entry) + "' is not NAME=KEY or NAME=KEY*WEIGHT";
    }
    LoadCaller caller;
    caller.name = entry.substr(0, equals);
    std::string_view key = entry.substr(equals + 1);
    if (const size_t star = key.find('*'); star != std::string_view::npos) {
      const std::string_view weight = key.substr(star + 1);
      const auto [end, ec] = std::from_chars(
          weight.data(), weight.data() + weight.size(), caller.weight);
      if (ec != std::errc() || caller.weight < 1) {
        return "'" + std::string(weight) +
               "' is not a weight; expected an integer of at least 1";
      }
      key = key.substr(0, star);
    }
    caller.key = key;
    out.push_back(std::move(caller));
  }
  return {};
}

}  // namespace

FlagResult ParseLoadSettings(std::span<char* const> args,
                             LoadSettings& out,
                             Findings& findings) {
  FlagTable table(
      "magnoliareel-load",
      "Sends an open-loop load to entries, reports outcomes and latencies, and "
      "records a history.");
  table.AddParsed("entries", "addresses of entries: HOST:PORT,...",
                  [&out](std::string_view text) {
                    return ParsePeerList(text, out.entries);
                  });
  table.AddParsed(
      "callers",
      "callers, their keys and optional weights: NAME=KEY*WEIGHT,...",
      [&out](std::string_view text) {
        return ParseCallers(text, out.callers);
      });
  table.AddText("service", "service that requests use", true, out.service);
  table.AddNumber("seed", "seed of all random choices", 0, INT64_MAX, out.seed);
  table.AddNumber("duration-ms", "duration of the run, ms", 1,
                  kMillisecondsPerDay, out.duration_ms);
  table.AddNumber("rate", "requests per second", 1, 100000, out.rate);
  table.AddNumber("crest-factor",
                  "factor by which the rate grows during the burst", 1, 1000,
                  out.burst_rate_factor);
  table.AddNumber("crest-at-ms",
                  "start of the burst, ms after the start of the run", 0,
                  kMillisecondsPerDay, out.burst_start_ms);
  table.AddNumber("crest-for-ms", "duration of the burst, ms", 0,
                  kMillisecondsPerDay, out.burst_duration_ms);
  table.AddNumber("records", "number of records that requests use", 1, 1000000,
                  out.records);
  table.AddNumber("writes-permille", "single writes per 1000 requests", 0, 1000,
                  out.writes_permille);
  table.AddNumber("transactions-permille", "transactions per 1000 requests", 0,
                  1000, out.transactions_permille);
  table.AddNumber("long-permille",
                  "long statements per 1000 reads and single writes", 0, 1000,
                  out.long_permille);
  table.AddNumber("long-ms", "run time of a long statement, ms", 0, 600000,
                  out.long_ms);
  table.AddNumber("long-declared",
                  "1 declares the work class of long statements", 0, 1,
                  out.declare_long_statements);
  table.AddNumber(
      "short-ms",
      "run time of a short statement, ms; 0 uses the endpoint's default", 0,
      600000, out.short_ms);
  table.AddNumber("deadline-ms", "deadline of a request, ms", 1, 3600000,
                  out.deadline_ms);
  table.AddNumber("max-age-ms",
                  "maximum age of data that reads accept, ms; -1 omits it", -1,
                  kMillisecondsPerDay, out.max_age_ms);
  table.AddNumber("idempotent-permille",
                  "idempotent writes per 1000 single writes", 0, 1000,
                  out.idempotent_permille);
  table.AddText("history", "file that receives the history; empty for none",
                false, out.history);
  table.AddText("report",
                "file that receives the report as JSON; empty for none", false,
                out.report);
  const FlagResult result = table.Parse(args, findings);
  if (result == FlagResult::kPrinted) {
    return result;
  }
  if (out.entries.empty()) {
    findings.Add("--entries", Error::kMissingField,
                 "at least one entry must be given");
  }
  if (out.callers.empty()) {
    findings.Add("--callers", Error::kMissingField,
                 "at least one caller must be given");
  }
  return findings.IsEmpty() ? FlagResult::kRun : FlagResult::kInvalid;
}

}  // namespace magnoliareel
