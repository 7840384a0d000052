#include "session/freshness/freshness.h"

#include <algorithm>

namespace magnoliareel {

bool ContainsPoint(std::span<const TermStart> lineage,
                   LogPosition position,
                   LogPoint required) {
  if (required == LogPoint{}) {
    return true;
  }
  const auto it = std::find_if(lineage.begin(), lineage.end(),
                               [&required](const TermStart& entry) {
                                 return entry.term == required.term;
                               });
  if (it == lineage.end()) {
    return false;
  }
  const auto next = it + 1;
  if (next == lineage.end()) {
    return position >= required.position;
  }
  return position >= std::min(required.position, next->start);
}

std::optional<Duration> BoundAge(
    std::span<const PrimaryObservation> observations,
    LogPosition position,
    TimePoint now) {
  for (size_t n = observations.size(); n > 0; --n) {
    if (const auto& [sent, seen] = observations[n - 1]; seen <= position) {
      return now - sent;
    }
  }
  return std::nullopt;
}

}  // namespace magnoliareel
