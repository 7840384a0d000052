#include "pool/estimates/run_time_estimates.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace magnoliareel {
namespace {

constexpr size_t kMaxShapeBytes = 128;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

}  // namespace

uint64_t ComputeStatementFingerprint(std::string_view statement) {
  std::array<char, kMaxShapeBytes> buf{};
  size_t n = 0;
  for (const char c : statement) {
    if (n == buf.size()) {
      break;
    }
    if (!IsDigit(c)) {
      buf[n++] = c;
    }
  }
  return XXH3_64bits(buf.data(), n);
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

void RunTimeEstimates::Learn(std::string_view statement, Duration ran) {
  const uint64_t shape = ComputeStatementFingerprint(statement);
  const double is_long = ran >= kLongRunTime ? 1 : 0;
  if (const auto it = estimates_.find(shape); it != estimates_.end()) {
    it->second->long_share +=
        (is_long - it->second->long_share) * kNewestRunWeight;
    recent_.splice(recent_.begin(), recent_, it->second);
    return;
  }
  recent_.push_front({shape, is_long * kNewestRunWeight});
  estimates_.emplace(shape, recent_.begin());
  if (recent_.size() > kMaxFingerprints) {
    estimates_.erase(recent_.back().shape);
    recent_.pop_back();
  }
}

}  // namespace magnoliareel
