#include "relay/primaries/commit_hold.h"

#include <utility>

#include "relay/core/traffic_limits.h"

namespace magnoliareel {

bool CommitHold::Begin(const EndpointId& successor,
                       Term newest_term,
                       TimePoint now) {
  // The notice of another VM may arrive behind the proof.
  if (ending_proof_ && ending_proof_->endpoint == successor &&
      now - ending_proof_->at < kCommitHoldPeriod) {
    return false;
  }
  const TimePoint until = now + kCommitHoldPeriod;
  if (IsInForce(now) && hold_->successor == successor) {
    hold_->until = until;
    return false;
  }
  const TimePoint began = IsInForce(now) ? hold_->began : now;
  hold_ = {successor, began, until, newest_term};
  ending_proof_.reset();
  return true;
}

std::optional<CommitHold::Ended> CommitHold::Release(TimePoint now) {
  return IsInForce(now) ? End() : std::nullopt;
}

std::optional<CommitHold::Ended> CommitHold::RecordConfirmed(
    const EndpointId& endpoint,
    Term term,
    TimePoint now) {
  if (!IsInForce(now) || hold_->successor != endpoint ||
      term <= hold_->newest_term) {
    return std::nullopt;
  }
  ending_proof_ = {endpoint, now};
  return End();
}

std::optional<CommitHold::Ended> CommitHold::TakeExpired(TimePoint now) {
  return IsInForce(now) ? std::nullopt : End();
}

std::optional<CommitHold::Ended> CommitHold::End() {
  if (!hold_) {
    return std::nullopt;
  }
  const Hold ended = *std::exchange(hold_, std::nullopt);
  return Ended{ended.successor, ended.began};
}

}  // namespace magnoliareel
