#include "relay/primaries/commit_loss_detector.h"

#include <algorithm>
#include <utility>

namespace magnoliareel {

std::optional<CommitLossDetector::Finding> CommitLossDetector::RecordAnswered(
    LogPoint end_before,
    LogPoint end) {
  // With another term, the endpoint's role or log may have changed meanwhile.
  // An end that has not moved shows that no record was added.
  std::optional<LogPoint> lowest;
  if (end_before.term == end.term && end_before.position < end.position) {
    lowest = {end.term, LogPosition{end_before.position.value + 1}};
  }
  if (lowest && first_seen_ && lowest->term < first_seen_->term &&
      lowest->position >= first_seen_->position) {
    // It is not kept, or a later term would show the same loss again.
    if (std::exchange(is_loss_reported_, true)) {
      return std::nullopt;
    }
    return Finding{*first_seen_, end, lowest, true};
  }
  last_answered_ = std::max(last_answered_, std::optional(end));
  proven_ = std::max(proven_, lowest);
  return std::nullopt;
}

std::optional<CommitLossDetector::Finding> CommitLossDetector::RecordPrimary(
    LogPoint point) {
  if (first_seen_ && point.term <= first_seen_->term) {
    return std::nullopt;
  }
  const bool is_first = !first_seen_;
  first_seen_ = point;
  is_loss_reported_ = false;
  if (is_first) {
    return std::nullopt;
  }
  Finding finding{point, last_answered_, proven_, false};
  finding.is_loss = proven_ && proven_->term < point.term &&
                    proven_->position >= point.position;
  if (finding.is_loss) {
    // A later term would show the same loss again.
    is_loss_reported_ = true;
    last_answered_.reset();
    proven_.reset();
  }
  return finding;
}

}  // namespace magnoliareel
