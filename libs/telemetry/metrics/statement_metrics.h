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

/** What one finished statement contributes to the metrics. */
struct StatementSample {
  /** The caller that asked. */
  std::string_view caller;
  /** Class of the work: short or long. */
  std::string_view work_class;
  /** What became of it. */
  Outcome outcome = Outcome::kDone;
  /** Time from arrival until it started to run. */
  Duration waited{0};
  /** Time it ran. */
  Duration ran{0};
  /** Time from arrival to answer. */
  Duration total{0};
};

/** Histograms per caller and class, and counters per outcome.

    Callers beyond a fixed number share the label "other", so the size of the
    registry is bounded.
*/
class StatementMetrics {
 public:
  /** @param program  becomes the prefix of each metric's name */
  explicit StatementMetrics(std::string_view program);

  /** Adds a finished statement; from any thread. @param sample  its figures */
  void Observe(const StatementSample& sample);

  /** @returns all metrics in Prometheus' text format */
  std::string RenderText() const;

 private:
  /** The series of one caller and class, looked up once. */
  struct Series {
    prometheus::Histogram* waited = nullptr;
    prometheus::Histogram* ran = nullptr;
    prometheus::Histogram* total = nullptr;
    std::array<prometheus::Counter*, 4> outcomes{};
  };

  Series& GetOrAddSeries(std::string_view caller, std::string_view work_class);
  std::string GetCallerLabel(std::string_view caller);

  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Histogram>& waited_;
  prometheus::Family<prometheus::Histogram>& ran_;
  prometheus::Family<prometheus::Histogram>& total_;
  prometheus::Family<prometheus::Counter>& outcomes_;
  std::mutex mutex_;
  std::set<std::string, std::less<>> labelled_callers_;
  std::map<std::string, std::map<std::string, Series, std::less<>>, std::less<>>
      series_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TELEMETRY_METRICS_STATEMENT_METRICS_H_
