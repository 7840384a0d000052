#ifndef MAGNOLIAREEL_TELEMETRY_METRICS_GAUGE_SNAPSHOT_H_
#define MAGNOLIAREEL_TELEMETRY_METRICS_GAUGE_SNAPSHOT_H_

#include <prometheus/metric_family.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace magnoliareel {

/** A set of Prometheus gauges whose values are collected for each scrape.

    @see StatementMetrics
*/
class GaugeSnapshot {
 public:
  /** Names and values of the labels. */
  using Labels =
      std::initializer_list<std::pair<std::string_view, std::string_view>>;

  /** @param prefix  prefix of all metric names, without the underscore */
  explicit GaugeSnapshot(std::string_view prefix) : prefix_(prefix) {}

  /** Adds a gauge. Gauges of the same name must be added consecutively, to form
      one metric family.

      @param name    name of the metric, without the prefix
      @param help    help text, one line
      @param labels  labels that distinguish gauges of the same name
      @param value   the current value
  */
  void Add(std::string_view name,
           std::string_view help,
           Labels labels,
           double value);

  /** @returns the gauges in the Prometheus text format */
  std::string RenderText() const;

 private:
  std::string prefix_;
  std::vector<prometheus::MetricFamily> families_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TELEMETRY_METRICS_GAUGE_SNAPSHOT_H_
