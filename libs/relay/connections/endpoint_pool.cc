#include "relay/connections/endpoint_pool.h"

#include <algorithm>
#include <utility>

namespace magnoliareel {
namespace {

// Time for which a failing endpoint is left alone: first about the round trip
// between regions twice over, at most what a promotion plus a restart takes.
constexpr Duration kInitialFailureBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxFailureBackoff = std::chrono::milliseconds(800);
// A replica's applied position is believed for a few replication delays.
constexpr Duration kAppliedPointRetention = std::chrono::milliseconds(80);
// Each further read that finds it behind doubles that time, up to 1.28 s: a
// replica that lags for seconds is not asked by every read.
constexpr uint32_t kMaxBehindDoublings = 4;
// From so many on a short wait for it is in vain.
constexpr uint32_t kPersistentLagReadCount = 2;
// A refused connection stands for many VMs that wait: some round trips between
// regions, as a wave of statements lasts longer than one.
constexpr Duration kConnectionLimitRetention = std::chrono::milliseconds(500);
// The pause before the next attempt doubles so many times, to 240 ms.
constexpr uint32_t kMaxOpenBackoffDoublings = 2;
// Before the first answer: a middling statement of the expected deployments.
constexpr Duration kInitialRunTimeEstimate = std::chrono::milliseconds(25);
// All VMs together start with this many statements for each slot, so that the
// endpoint's own queue, which knows no priorities, stays short.
constexpr double kInitialStatementsPerSlot = 2;
// Uses further apart than this say nothing about the next one; also assumed
// before the second use.
constexpr Duration kMaxUseInterval = std::chrono::seconds(2);
// Growth of the limit for an answer while statements wait here, and its
// decrease for a refusal, at most once within a pause.
constexpr double kLimitGrowth = 0.2;
constexpr double kLimitDecreaseFactor = 0.7;
constexpr Duration kLimitDecreaseInterval = std::chrono::milliseconds(50);
// Weight of one answer in the mean: an eighth follows a change within some
// twenty statements.
constexpr int kMeanDivisor = 8;

}  // namespace

EndpointPool::EndpointPool(EndpointEntry listed, Distance place)
    : entry(std::move(listed)),
      distance(place),
      mean_run_time_(kInitialRunTimeEstimate),
      mean_interval_(kMaxUseInterval) {
  ResetConcurrencyLimit(1);
}

void EndpointPool::ResetConcurrencyLimit(uint32_t live_vms) {
  const double slots = std::max(1U, entry.slots);
  concurrency_limit_ = std::clamp(
      kInitialStatementsPerSlot * slots / std::max(1U, live_vms), 1.0, slots);
}

void EndpointPool::Enqueue(const QueuedStatement& statement) {
  const auto it = std::find_if(
      queue.begin(), queue.end(), [&](const QueuedStatement& other) {
        return std::pair(statement.priority, statement.deadline) <
               std::pair(other.priority, other.deadline);
      });
  queue.insert(it, statement);
}

void EndpointPool::Remove(uint64_t statement_id) {
  std::erase_if(queue, [&](const QueuedStatement& it) {
    return it.statement_id == statement_id;
  });
}

void EndpointPool::RecordReply(Duration run_time, TimePoint now) {
  mean_run_time_ += (run_time - mean_run_time_) / kMeanDivisor;
  if (!queue.empty()) {
    concurrency_limit_ =
        std::min(concurrency_limit_ + kLimitGrowth,
                 static_cast<double>(std::max(1U, entry.slots)));
  }
  RecordActivity(now);
}

void EndpointPool::RecordActivity(TimePoint now) {
  last_activity = now;
  failures = 0;
  backoff_until_ = {};
}

void EndpointPool::RecordBusy(TimePoint now) {
  if (now - limit_decreased_at_ >= kLimitDecreaseInterval) {
    limit_decreased_at_ = now;
    concurrency_limit_ =
        std::max(1.0, concurrency_limit_ * kLimitDecreaseFactor);
  }
}

void EndpointPool::RecordFailure(TimePoint now) {
  const Duration pause =
      std::min(kInitialFailureBackoff * (1 << std::min(failures, 5U)),
               kMaxFailureBackoff);
  ++failures;
  backoff_until_ = now + pause;
}

void EndpointPool::RecordConnectionRefused(TimePoint now) {
  const Duration pause =
      kOpenBackoff *
      (1 << std::min(open_refusal_count_, kMaxOpenBackoffDoublings));
  ++open_refusal_count_;
  connection_refused_at_ = now;
  open_backoff_until_ = now + pause;
}

void EndpointPool::RecordUse(TimePoint now) {
  const Duration interval = std::min<Duration>(
      now - std::exchange(last_used_at_, now), kMaxUseInterval);
  mean_interval_ += (interval - mean_interval_) / kMeanDivisor;
  open_refusal_count_ = 0;
}

Duration EndpointPool::GetScaledIdleTimeout(double part) const {
  return Duration(static_cast<Duration::rep>(
      part * static_cast<double>(mean_interval_.count())));
}

void EndpointPool::RecordAppliedPoint(LogPoint applied, TimePoint now) {
  applied_ = applied;
  applied_at_ = now;
}

void EndpointPool::RecordFreshness(bool behind) {
  behind_streak_ = behind ? behind_streak_ + 1 : 0;
}

bool EndpointPool::HasPersistentLag() const {
  return behind_streak_ >= kPersistentLagReadCount;
}

bool EndpointPool::IsBehind(const LogPoint& point, TimePoint now) const {
  const Duration kept = kAppliedPointRetention *
                        (1 << std::min(behind_streak_, kMaxBehindDoublings));
  return now - applied_at_ < kept && applied_ < point;
}

bool EndpointPool::IsAtConnectionLimit(TimePoint now) const {
  return connection_refused_at_ > TimePoint{} &&
         now - connection_refused_at_ < kConnectionLimitRetention;
}

bool EndpointPool::CanOpenConnection(uint32_t share, TimePoint now) const {
  return !removed && connections.size() < share && now >= open_backoff_until_ &&
         now >= backoff_until_;
}

Duration EndpointPool::EstimateLatency() const {
  const int64_t ahead = running + static_cast<int64_t>(queue.size()) + 1;
  const int64_t limit = GetConcurrencyLimit();
  return mean_run_time_ * std::max(ahead, limit) / limit;
}

}  // namespace magnoliareel
