#include "apps/load/load_report.h"

#include <algorithm>
#include <cstdio>

#include "codec/codec.h"

namespace magnoliareel {
namespace {

constexpr double kMicrosPerMilli = 1000;

double GetPercentile(std::vector<int64_t> micros, double fraction) {
  if (micros.empty()) {
    return 0;
  }
  std::sort(micros.begin(), micros.end());
  const auto n =
      static_cast<size_t>(fraction * static_cast<double>(micros.size() - 1));
  return static_cast<double>(micros[n]) / kMicrosPerMilli;
}

uint64_t GetOutcomeCount(const std::map<Outcome, uint64_t>& outcomes,
                         Outcome outcome) {
  const auto it = outcomes.find(outcome);
  return it == outcomes.end() ? 0 : it->second;
}

}  // namespace

void LoadReport::Add(const LoadSample& sample) {
  ++finished_count_;
  Row& row = rows_[sample.kind];
  ++row.outcomes[sample.outcome];
  if (sample.outcome != Outcome::kDone) {
    ++error_counts_[std::string(GetErrorName(sample.ec))];
    return;
  }
  ++done_count_;
  row.latencies_us.push_back(sample.latency.count());
  if (sample.kind.operation == "read") {
    ++reads_by_endpoint_[sample.endpoint];
  } else {
    ++writes_by_endpoint_[sample.endpoint];
    write_completion_times_.push_back(sample.answered_at.count());
  }
}

double LoadReport::GetReplicaReadShare() const {
  uint64_t replica = 0;
  uint64_t all = 0;
  for (const auto& [endpoint, n] : reads_by_endpoint_) {
    all += n;
    replica += writes_by_endpoint_.contains(endpoint) ? 0 : n;
  }
  return all == 0 ? 0 : static_cast<double>(replica) / static_cast<double>(all);
}

int64_t LoadReport::GetLongestWriteGapMicros() const {
  std::vector<int64_t> times = write_completion_times_;
  std::sort(times.begin(), times.end());
  int64_t gap = 0;
  for (size_t n = 1; n < times.size(); ++n) {
    gap = std::max(gap, times[n] - times[n - 1]);
  }
  return gap;
}

std::string LoadReport::FormatTable() const {
  std::string text =
      "caller           class kind        done   failed  not_run unknown   p50 "
      "ms   p99 ms   max "
      "ms\n";
  for (const auto& [kind, row] : rows_) {
    char buf[256];
    std::snprintf(buf, sizeof(buf),
                  "%-16s %-5s %-10s %6lu %8lu %8lu %7lu %8.2f %8.2f %8.2f\n",
                  kind.caller.c_str(), kind.work_class.c_str(),
                  kind.operation.c_str(),
                  GetOutcomeCount(row.outcomes, Outcome::kDone),
                  GetOutcomeCount(row.outcomes, Outcome::kFailed),
                  GetOutcomeCount(row.outcomes, Outcome::kNotRun),
                  GetOutcomeCount(row.outcomes, Outcome::kUnknown),
                  GetPercentile(row.latencies_us, 0.5),
                  GetPercentile(row.latencies_us, 0.99),
                  GetPercentile(row.latencies_us, 1));
    text += buf;
  }
  for (const auto& [name, n] : error_counts_) {
    text += "error " + name + ": " + std::to_string(n) + "\n";
  }
  char buf[128];
  std::snprintf(
      buf, sizeof(buf),
      "reads from replicas: %.1f%%; longest gap of writes: %.0f ms\n",
      GetReplicaReadShare() * 100,
      static_cast<double>(GetLongestWriteGapMicros()) / kMicrosPerMilli);
  return text + buf;
}

std::string LoadReport::FormatJsonText() const {
  Json::Value value(Json::objectValue);
  value["finished"] = Json::UInt64(finished_count_);
  value["done"] = Json::UInt64(done_count_);
  value["replica_share"] = GetReplicaReadShare();
  value["write_gap_ms"] =
      static_cast<double>(GetLongestWriteGapMicros()) / kMicrosPerMilli;
  value["rows"] = Json::Value(Json::arrayValue);
  for (const auto& [kind, row] : rows_) {
    Json::Value entry(Json::objectValue);
    entry["caller"] = kind.caller;
    entry["class"] = kind.work_class;
    entry["kind"] = kind.operation;
    for (const Outcome it : {Outcome::kDone, Outcome::kFailed, Outcome::kNotRun,
                             Outcome::kUnknown}) {
      entry[std::string(GetOutcomeName(it))] =
          Json::UInt64(GetOutcomeCount(row.outcomes, it));
    }
    entry["p50_ms"] = GetPercentile(row.latencies_us, 0.5);
    entry["p99_ms"] = GetPercentile(row.latencies_us, 0.99);
    entry["max_ms"] = GetPercentile(row.latencies_us, 1);
    value["rows"].append(std::move(entry));
  }
  for (const auto& [name, n] : error_counts_) {
    value["errors"][name] = Json::UInt64(n);
  }
  for (const auto& [name, n] : reads_by_endpoint_) {
    value["reads_by_endpoint"][name] = Json::UInt64(n);
  }
  return FormatJson(value);
}

}  // namespace magnoliareel
