#ifndef MAGNOLIAREEL_APPS_LOAD_LOAD_REPORT_H_
#define MAGNOLIAREEL_APPS_LOAD_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** The kind of requests that one row of the report counts. */
struct LoadRequestKind {
  /** Name of the caller. */
  std::string caller;
  /** Work class: short or long. */
  std::string work_class;
  /** Operation: read, write or transaction. */
  std::string operation;

  auto operator<=>(const LoadRequestKind&) const = default;
};

/** One finished request. */
struct LoadSample {
  /** Kind of the request. */
  LoadRequestKind kind;
  /** Outcome of the request. */
  Outcome outcome = Outcome::kUnknown;
  /** Error; empty if the request was done. */
  std::error_code ec;
  /** Time from the start of the run to the answer. */
  Duration answered_at{0};
  /** Time from arrival to answer. */
  Duration latency{0};
  /** Name of the endpoint that served the request. */
  std::string endpoint;
};

/** Collects the outcomes and latencies of a run and formats the report. */
class LoadReport {
 public:
  /** @param sample  a finished request to add */
  void Add(const LoadSample& sample);

  /** @returns number of finished requests, whatever their outcome */
  size_t CountFinished() const { return finished_count_; }
  /** @returns number of requests with the outcome kDone */
  size_t CountDone() const { return done_count_; }
  /** @returns the report as a table for display */
  std::string FormatTable() const;
  /** @returns the report as JSON */
  std::string FormatJsonText() const;

 private:
  struct Row {
    std::map<Outcome, uint64_t> outcomes;
    std::vector<int64_t> latencies_us;
  };

  // Fraction of the reads that were served by endpoints without any write.
  double GetReplicaReadShare() const;
  // Longest time between two consecutive writes that were done.
  int64_t GetLongestWriteGapMicros() const;

  std::map<LoadRequestKind, Row> rows_;
  std::map<std::string, uint64_t> error_counts_;
  std::map<std::string, uint64_t> reads_by_endpoint_;
  std::map<std::string, uint64_t> writes_by_endpoint_;
  std::vector<int64_t> write_completion_times_;
  size_t finished_count_ = 0;
  size_t done_count_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_LOAD_LOAD_REPORT_H_
