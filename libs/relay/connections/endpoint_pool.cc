#include "relay/connections/endpoint_pool.h"

#include <algorithm>
#include <utility>

namespace magnoliareel {
namespace {

// Time for which a failing endpoint is left alone: first about the round trip
// between regions twice over, at most what a promotion plus a restart takes.
constexpr Duration kFirstAvoidance = std::chrono::milliseconds(100);
constexpr Duration kLongestAvoidance = std::chrono::milliseconds(800);
// A replica that was behind is asked again after a few replication delays.
constexpr Duration kBehindPause = std::chrono::milliseconds(60);
// A full endpoint frees connections as other VMs shrink to their share.
constexpr Duration kOpenPause = std::chrono::milliseconds(200);
// Before the first answer: a middling statement of the expected deployments.
constexpr Duration kAssumedRunTime = std::chrono::milliseconds(25);
// Weight of one answer in the mean: an eighth follows a change within some
// twenty statements.
constexpr int kMeanWeight = 8;

}  // namespace

EndpointPool::EndpointPool(EndpointEntry listed, Distance place)
    : entry(std::move(listed)),
      distance(place),
      mean_run_time_(kAssumedRunTime) {}

void EndpointPool::Enqueue(const QueuedStatement& statement) {
  const auto it = std::find_if(
      queue.begin(), queue.end(), [&](const QueuedStatement& other) {
        return std::pair(statement.priority, statement.deadline) <
               std::pair(other.priority, other.deadline);
      });
  queue.insert(it, statement);
}

void EndpointPool::Remove(uint64_t ticket) {
  std::erase_if(queue,
                [&](const QueuedStatement& it) { return it.ticket == ticket; });
}

void EndpointPool::NoteAnswer(Duration run_time, TimePoint now) {
  mean_run_time_ += (run_time - mean_run_time_) / kMeanWeight;
  NoteHeard(now);
}

void EndpointPool::NoteHeard(TimePoint now) {
  last_heard = now;
  failures = 0;
  avoid_until_ = {};
}

void EndpointPool::NoteFailure(TimePoint now) {
  const Duration pause = std::min(
      kFirstAvoidance * (1 << std::min(failures, 5U)), kLongestAvoidance);
  ++failures;
  avoid_until_ = now + pause;
}

void EndpointPool::NoteConnectionRefused(TimePoint now) {
  no_open_until_ = now + kOpenPause;
}

void EndpointPool::NoteBehind(TimePoint now) {
  behind_until_ = now + kBehindPause;
}

bool EndpointPool::MayOpen(uint32_t share, TimePoint now) const {
  return !gone && connections.size() < share && now >= no_open_until_ &&
         now >= avoid_until_;
}

Duration EndpointPool::EstimateWait() const {
  const uint64_t ahead = running + queue.size() + 1;
  const uint32_t limit = GetLimit();
  if (ahead <= limit) {
    return Duration(0);
  }
  return mean_run_time_ * static_cast<int64_t>(ahead - limit) /
         static_cast<int64_t>(limit);
}

}  // namespace magnoliareel
