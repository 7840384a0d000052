#include "pool/estimates/run_time_estimates.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace magnoliareel {
namespace {

// Non-digit bytes of a statement that its fingerprint covers.
constexpr size_t kMaxFingerprintedBytes = 128;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

}  // namespace

uint64_t ComputeStatementFingerprint(std::string_view statement) {
  std::array<char, kMaxFingerprintedBytes> kept{};
  size_t size = 0;
  for (const char c : statement) {
    if (size == kept.size()) {
      break;
    }
    if (!IsDigit(c)) {
      kept[size++] = c;
    }
  }
  return XXH3_64bits(kept.data(), size);
}

WorkClass RunTimeEstimates::Classify(std::string_view statement,
                                     WorkClass declared) {
  if (declared == WorkClass::kLong) {
    return WorkClass::kLong;
  }
  const auto it = estimates_.find(ComputeStatementFingerprint(statement));
  const bool is_long =
      it != estimates_.end() && it->second->long_share > kLongShareThreshold;
  return is_long ? WorkClass::kLong : WorkClass::kShort;
}

void RunTimeEstimates::Learn(std::string_view statement, Duration run_time) {
  const uint64_t fingerprint = ComputeStatementFingerprint(statement);
  const double is_long = run_time >= kLongRunTime ? 1 : 0;
  if (const auto it = estimates_.find(fingerprint); it != estimates_.end()) {
    it->second->long_share +=
        (is_long - it->second->long_share) * kNewestRunWeight;
    recent_.splice(recent_.begin(), recent_, it->second);
    return;
  }
  recent_.push_front({fingerprint, is_long * kNewestRunWeight});
  estimates_.emplace(fingerprint, recent_.begin());
  if (recent_.size() > kMaxFingerprints) {
    estimates_.erase(recent_.back().fingerprint);
    recent_.pop_back();
  }
}

}  // namespace magnoliareel
