#include "apps/load/workload_generator.h"

#include <random>

namespace magnoliareel {
namespace {

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

WorkloadGenerator::WorkloadGenerator(const LoadSettings& settings)
    : settings_(settings), random_(static_cast<uint64_t>(settings.seed)) {}

Duration WorkloadGenerator::GenerateInterarrivalTime(Duration at) {
  const int64_t factor = IsInBurst(at) ? settings_.burst_rate_factor : 1;
  const auto rate = static_cast<double>(settings_.rate * factor);
  std::exponential_distribution<double> spacing(rate / kMicrosPerSecond);
  return Duration(static_cast<int64_t>(spacing(random_)));
}

bool WorkloadGenerator::IsInBurst(Duration at) const {
  const auto begin = std::chrono::milliseconds(settings_.burst_start_ms);
  return at >= begin &&
         at < begin + std::chrono::milliseconds(settings_.burst_duration_ms);
}

const LoadCaller& WorkloadGenerator::ChooseCaller() {
  int64_t total = 0;
  for (const LoadCaller& it : settings_.callers) {
    total += it.weight;
  }
  int64_t n = static_cast<int64_t>(random_() % static_cast<uint64_t>(total));
  for (const LoadCaller& it : settings_.callers) {
    n -= it.weight;
    if (n < 0) {
      return it;
    }
  }
  return settings_.callers.back();
}

LoadRequest WorkloadGenerator::GenerateRequest() {
  LoadRequest arrival;
  ++generated_requests_;
  const auto choice = static_cast<int64_t>(random_() % 1000);
  const std::string record =
      "record-" +
      std::to_string(random_() % static_cast<uint64_t>(settings_.records));
  const std::string value = "v" + std::to_string(generated_requests_);
  if (choice < settings_.transactions_permille) {
    arrival.is_transaction = true;
    arrival.verb = CallerVerb::kBegin;
    arrival.additions = {{record, value + "x"}, {record, value + "y"}};
    return arrival;
  }
  const bool is_write =
      choice < settings_.transactions_permille + settings_.writes_permille;
  arrival.verb = is_write ? CallerVerb::kWrite : CallerVerb::kRead;
  arrival.additions = {{record, value}};
  if (static_cast<int64_t>(random_() % 1000) < settings_.long_permille) {
    arrival.work_class = WorkClass::kLong;
    // Long work has a shape of its own, as a report has.
    arrival.additions.front().record = "report-1";
  }
  return arrival;
}

std::string WorkloadGenerator::MakeStatement(const LoadRequest& arrival,
                                             const Addition& addition) const {
  std::string text;
  const int64_t work = arrival.work_class == WorkClass::kLong
                           ? settings_.long_ms
                           : settings_.short_ms;
  if (work > 0) {
    text = "work " + std::to_string(work) + " ";
  }
  if (arrival.verb == CallerVerb::kRead) {
    return text + "get " + addition.record;
  }
  // A history needs every value; without one, records stay small.
  const char* verb = settings_.history.empty() ? "put " : "append ";
  return text + verb + addition.record + " " + addition.value;
}

}  // namespace magnoliareel
