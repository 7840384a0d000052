#include "standins/endpoint/endpoint_faults.h"

#include "codec/codec.h"

namespace magnoliareel::standin {

void ParseEndpointFaults(std::string_view body,
                         EndpointFaults& faults,
                         Findings& findings) {
  constexpr int64_t kMaxCount = 1000000;
  constexpr Duration kMaxDelay = std::chrono::minutes(10);
  const Json::Value value = ParseJsonObject(body, findings);
  if (!findings.IsEmpty()) {
    return;
  }
  EndpointFaults changed = faults;
  ObjectReader reader(value, "", findings);
  reader.ReadFlag("cut", Presence::kOptional, changed.is_cut);
  reader.ReadFlag("replication_cut", Presence::kOptional,
                  changed.is_replication_cut);
  reader.ReadFlag("leaving", Presence::kOptional, changed.is_leaving);
  reader.ReadNumber("lose_answers", Presence::kOptional, 0, kMaxCount,
                    changed.answers_to_lose);
  reader.ReadNumber("swap_answers", Presence::kOptional, 0, kMaxCount,
                    changed.answers_to_swap);
  reader.ReadNumber("delay_answers", Presence::kOptional, 0, kMaxCount,
                    changed.answers_to_delay);
  reader.ReadMilliseconds("delay_ms", Presence::kOptional, kMaxDelay,
                          changed.answer_delay);
  reader.ReadMilliseconds("lag_ms", Presence::kOptional, kMaxDelay,
                          changed.lag);
  reader.ReadMilliseconds("latency_ms", Presence::kOptional, kMaxDelay,
                          changed.latency);
  reader.RejectUnknown();
  if (findings.IsEmpty()) {
    faults = changed;
  }
}

}  // namespace magnoliareel::standin
