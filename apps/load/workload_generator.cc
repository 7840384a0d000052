#include "apps/load/workload_generator.h"

#include <random>

namespace magnoliareel {
namespace {

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

WorkloadGenerator::WorkloadGenerator(const LoadSettings& settings)
    : settings_(settings), random_(static_cast<uint64_t>(settings.seed)) {}

Duration WorkloadGenerator::GenerateInterarrivalTime(Duration elapsed) {
  const int64_t factor = IsInBurst(elapsed) ? settings_.burst_rate_factor : 1;
  const auto rate = static_cast<double>(settings_.rate * factor);
  std::exponential_distribution<double> interarrival(rate / kMicrosPerSecond);
  return Duration(static_cast<int64_t>(interarrival(random_)));
}

bool WorkloadGenerator::IsInBurst(Duration elapsed) const {
  const auto begin = std::chrono::milliseconds(settings_.burst_start_ms);
  return elapsed >= begin && elapsed < begin + std::chrono::milliseconds(
                                                   settings_.burst_duration_ms);
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
  LoadRequest load_request;
  ++generated_requests_;
  const auto operation_draw = static_cast<int64_t>(random_() % 1000);
  const std::string record =
      "record-" +
      std::to_string(random_() % static_cast<uint64_t>(settings_.records));
  const std::string value = "v" + std::to_string(generated_requests_);
  if (operation_draw < settings_.transactions_permille) {
    load_request.is_transaction = true;
    load_request.verb = CallerVerb::kBegin;
    load_request.additions = {{record, value + "x"}, {record, value + "y"}};
    return load_request;
  }
  const bool is_write = operation_draw < settings_.transactions_permille +
                                             settings_.writes_permille;
  load_request.verb = is_write ? CallerVerb::kWrite : CallerVerb::kRead;
  load_request.additions = {{record, value}};
  if (static_cast<int64_t>(random_() % 1000) < settings_.long_permille) {
    load_request.work_class = WorkClass::kLong;
    // Long statements use a record of their own, as a report would, so that
    // their fingerprint differs from that of short statements.
    load_request.additions.front().record = "report-1";
  }
  return load_request;
}

std::string WorkloadGenerator::MakeStatement(const LoadRequest& load_request,
                                             const Addition& addition) const {
  std::string text;
  const int64_t work = load_request.work_class == WorkClass::kLong
                           ? settings_.long_ms
                           : settings_.short_ms;
  if (work > 0) {
    text = "work " + std::to_string(work) + " ";
  }
  if (load_request.verb == CallerVerb::kRead) {
    return text + "get " + addition.record;
  }
  // A recorded history needs every value that was written. Without a history,
  // overwriting keeps records small.
  const char* verb = settings_.history.empty() ? "put " : "append ";
  return text + verb + addition.record + " " + addition.value;
}

}  // namespace magnoliareel
