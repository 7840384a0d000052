#include "telemetry/metrics/statement_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

namespace magnoliareel {
namespace {

constexpr size_t kMaxLabelledCallers = 64;

const prometheus::Histogram::BucketBoundaries& GetBoundaries() {
  static const prometheus::Histogram::BucketBoundaries seconds = {
      0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
      0.1,    0.2,    0.5,   1,     2,     5,    10,   30};
  return seconds;
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

prometheus::Family<prometheus::Histogram>& AddFamily(
    prometheus::Registry& registry,
    const std::string& name,
    const std::string& help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

}  // namespace

StatementMetrics::StatementMetrics(std::string_view program)
    : registry_(std::make_shared<prometheus::Registry>()),
      wait_times_(AddFamily(*registry_,
                            std::string(program) + "_wait_seconds",
                            "Time from arrival until the statement ran.")),
      run_times_(AddFamily(*registry_,
                           std::string(program) + "_run_seconds",
                           "Time the statement ran.")),
      total_times_(AddFamily(*registry_,
                             std::string(program) + "_total_seconds",
                             "Time from arrival to answer.")),
      outcomes_(prometheus::BuildCounter()
                    .Name(std::string(program) + "_statements_total")
                    .Help("Statements by outcome.")
                    .Register(*registry_)) {}

void StatementMetrics::Observe(const StatementSample& sample) {
  const std::lock_guard lock(mutex_);
  Series& series = GetOrAddSeries(sample.caller, sample.work_class);
  series.wait_time->Observe(ToSeconds(sample.wait_time));
  series.run_time->Observe(ToSeconds(sample.run_time));
  series.total_time->Observe(ToSeconds(sample.total_time));
  series.outcomes[static_cast<size_t>(sample.outcome)]->Increment();
}

StatementMetrics::Series& StatementMetrics::GetOrAddSeries(
    std::string_view caller,
    std::string_view work_class) {
  if (const auto it = series_.find(caller); it != series_.end()) {
    if (const auto found = it->second.find(work_class);
        found != it->second.end()) {
      return found->second;
    }
  }
  const std::string label = GetCallerLabel(caller);
  Series& series = series_[label][std::string(work_class)];
  if (series.wait_time != nullptr) {
    return series;
  }
  const std::map<std::string, std::string> labels = {
      {"caller", label}, {"class", std::string(work_class)}};
  series.wait_time = &wait_times_.Add(labels, GetBoundaries());
  series.run_time = &run_times_.Add(labels, GetBoundaries());
  series.total_time = &total_times_.Add(labels, GetBoundaries());
  for (const Outcome it : {Outcome::kDone, Outcome::kFailed, Outcome::kNotRun,
                           Outcome::kUnknown}) {
    series.outcomes[static_cast<size_t>(it)] =
        &outcomes_.Add({{"caller", label},
                        {"class", std::string(work_class)},
                        {"outcome", std::string(GetOutcomeName(it))}});
  }
  return series;
}

std::string StatementMetrics::RenderText() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

std::string StatementMetrics::GetCallerLabel(std::string_view caller) {
  if (labelled_callers_.contains(caller)) {
    return std::string(caller);
  }
  if (labelled_callers_.size() >= kMaxLabelledCallers) {
    return "other";
  }
  return *labelled_callers_.emplace(caller).first;
}

}  // namespace magnoliareel
