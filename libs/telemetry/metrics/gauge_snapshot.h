#ifndef MAGNOLIAREEL_TELEMETRY_METRICS_GAUGE_SNAPSHOT_H_
#define MAGNOLIAREEL_TELEMETRY_METRICS_GAUGE_SNAPSHOT_H_

#include <prometheus/metric_family.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace magnoliareel {

/** Figures that are collected when somebody asks for them.

    @see StatementMetrics
*/
class GaugeSnapshot {
 public:
  /** Label names and values. */
  using Labels =
      std::initializer_list<std::pair<std::string_view, std::string_view>>;

  /** @param prefix  of every metric's name */
  explicit GaugeSnapshot(std::string_view prefix) : prefix_(prefix) {}

  /** Adds a figure; figures of one name are added one after the other.

      @param name    without the prefix
      @param help    one line
      @param labels  what tells figures of the same name apart
      @param value   the figure
  */
  void Add(std::string_view name,
           std::string_view help,
           Labels labels,
           double value);

  /** @returns the page in Prometheus' text format */
  std::string RenderText() const;

 private:
  std::string prefix_;
  std::vector<prometheus::MetricFamily> families_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TELEMETRY_METRICS_GAUGE_SNAPSHOT_H_
