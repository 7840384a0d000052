#ifndef MAGNOLIAREEL_APPS_LOAD_LOAD_REPORT_H_
#define MAGNOLIAREEL_APPS_LOAD_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** What kind of request a row of the report counts. */
struct LoadRequestKind {
  /** The caller. */
  std::string caller;
  /** short or long. */
  std::string work_class;
  /** read, write or transaction. */
  std::string kind;

  auto operator<=>(const LoadRequestKind&) const = default;
};

/** One finished request. */
struct LoadSample {
  /** What it was. */
  LoadRequestKind kind;
  /** What became of it. */
  Outcome outcome = Outcome::kUnknown;
  /** Why it was not done. */
  std::error_code ec;
  /** Time since the run began at which it was answered. */
  Duration at{0};
  /** Time from arrival to answer. */
  Duration took{0};
  /** The endpoint that served it. */
  std::string endpoint;
};

/** Figures of a run. */
class LoadReport {
 public:
  /** Adds a finished request. @param sample  its figures */
  void Add(const LoadSample& sample);

  /** @returns requests finished */
  size_t CountFinished() const { return finished_; }
  /** @returns requests done */
  size_t CountDone() const { return done_; }
  /** @returns the report as a table for people */
  std::string FormatTable() const;
  /** @returns the report as JSON */
  std::string FormatJsonText() const;

 private:
  struct Row {
    std::map<Outcome, uint64_t> outcomes;
    std::vector<int64_t> latencies_us;
  };

  double GetReplicaReadShare() const;
  int64_t GetLongestWriteGapMicros() const;

  std::map<LoadRequestKind, Row> rows_;
  std::map<std::string, uint64_t> errors_;
  std::map<std::string, uint64_t> reads_by_endpoint_;
  std::map<std::string, uint64_t> writes_by_endpoint_;
  std::vector<int64_t> write_completion_times_;
  size_t finished_ = 0;
  size_t done_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_LOAD_LOAD_REPORT_H_
