#include "telemetry/metrics/gauge_snapshot.h"

#include <prometheus/text_serializer.h>

namespace magnoliareel {

void GaugeSnapshot::Add(std::string_view name,
                        std::string_view help,
                        Labels labels,
                        double value) {
  const std::string full = prefix_ + "_" + std::string(name);
  if (families_.empty() || families_.back().name != full) {
    prometheus::MetricFamily family;
    family.name = full;
    family.help = help;
    family.type = prometheus::MetricType::Gauge;
    families_.push_back(std::move(family));
  }
  prometheus::ClientMetric metric;
  for (const auto& [label, text] : labels) {
    metric.label.push_back({std::string(label), std::string(text)});
  }
  metric.gauge.value = value;
  families_.back().metric.push_back(std::move(metric));
}

std::string GaugeSnapshot::RenderText() const {
  return prometheus::TextSerializer().Serialize(families_);
}

}  // namespace magnoliareel
