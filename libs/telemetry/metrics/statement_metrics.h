#ifndef MAGNOLIAREEL_TELEMETRY_METRICS_STATEMENT_METRICS_H_
#define MAGNOLIAREEL_TELEMETRY_METRICS_STATEMENT_METRICS_H_

#include <prometheus/registry.h>

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

#include "core/core.h"

namespace magnoliareel {

/** Measurements of a finished statement. */
struct StatementSample {
  /** The caller that sent the statement. */
  std::string_view caller;
  /** Class of the statement: "short" or "long". */
  std::string_view work_class;
  /** Outcome of the statement. */
  Outcome outcome = Outcome::kDone;
  /** Time from arrival until the statement started to run. */
  Duration wait_time{0};
  /** Time that the statement ran. */
  Duration run_time{0};
  /** Time from arrival to the answer. */
  Duration total_time{0};
};

/** Prometheus metrics of statements: histograms of their times per caller and
    class, and counters per outcome.

    Callers beyond a fixed number share the label "other", which bounds the size
    of the registry.
*/
class StatementMetrics {
 public:
  /** @param program  prefix of all metric names */
  explicit StatementMetrics(std::string_view program);

  /** Records a finished statement; may be called from any thread.

      @param sample  measurements of the statement
  */
  void Observe(const StatementSample& sample);

  /** @returns all metrics in the Prometheus text format */
  std::string RenderText() const;

 private:
  /** The time series of one caller and class, cached to avoid lookups by
      label. */
  struct Series {
    prometheus::Histogram* wait_time = nullptr;
    prometheus::Histogram* run_time = nullptr;
    prometheus::Histogram* total_time = nullptr;
    std::array<prometheus::Counter*, 4> outcomes{};
  };

  Series& GetOrAddSeries(std::string_view caller, std::string_view work_class);
  std::string GetCallerLabel(std::string_view caller);

  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Histogram>& wait_times_;
  prometheus::Family<prometheus::Histogram>& run_times_;
  prometheus::Family<prometheus::Histogram>& total_times_;
  prometheus::Family<prometheus::Counter>& outcomes_;
  std::mutex mutex_;
  std::set<std::string, std::less<>> labelled_callers_;
  std::map<std::string, std::map<std::string, Series, std::less<>>, std::less<>>
      series_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TELEMETRY_METRICS_STATEMENT_METRICS_H_
