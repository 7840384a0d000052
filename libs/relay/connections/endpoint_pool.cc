#include "relay/connections/endpoint_pool.h"

#include <algorithm>
#include <utility>

namespace magnoliareel {
namespace {

// Backoff of a failing endpoint. It starts at about two round trips between
// regions and ends at the time that a promotion and a restart take.
constexpr Duration kInitialFailureBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxFailureBackoff = std::chrono::milliseconds(800);
// Time for which a replica's applied position counts: a few replication delays.
constexpr Duration kAppliedPointRetention = std::chrono::milliseconds(80);
// Each consecutive read that finds the replica behind doubles that time, up to
// 1.28 s, so that not every read tries a replica that lags for seconds.
constexpr uint32_t kMaxBehindDoublings = 4;
// Number of consecutive reads that found a replica behind, from which on a
// short wait for it is useless.
constexpr uint32_t kPersistentLagReadCount = 2;
// Time for which a refused connection counts as a reached connection limit:
// several round trips between regions. Many VMs wait for a connection then, and
// a burst of statements lasts longer than one round trip.
constexpr Duration kConnectionLimitRetention = std::chrono::milliseconds(500);
// The backoff before the next attempt doubles this many times, to 240 ms.
constexpr uint32_t kMaxOpenBackoffDoublings = 2;
// Estimate before the first reply: a typical statement of the expected
// deployments.
constexpr Duration kInitialRunTimeEstimate = std::chrono::milliseconds(25);
// Initial number of concurrent statements of all VMs together for each slot. A
// small number keeps the endpoint's own queue short, which ignores priorities.
constexpr double kInitialStatementsPerSlot = 2;
// Longer intervals between two uses don't predict the next use; also the
// initial estimate of the interval.
constexpr Duration kMaxUseInterval = std::chrono::seconds(2);
// The concurrency limit increases by a constant with each reply while
// statements are queued, and is multiplied by a factor when the endpoint is
// busy, at most once in each interval.
constexpr double kLimitGrowth = 0.2;
constexpr double kLimitDecreaseFactor = 0.7;
constexpr Duration kLimitDecreaseInterval = std::chrono::milliseconds(50);
// A new sample counts for an eighth of the moving average, which follows a
// change within about twenty statements.
constexpr int kMeanDivisor = 8;

}  // namespace

EndpointPool::EndpointPool(EndpointEntry pool_entry, Distance pool_distance)
    : entry(std::move(pool_entry)),
      distance(pool_distance),
      mean_run_time_(kInitialRunTimeEstimate),
      mean_interval_(kMaxUseInterval) {
  ResetConcurrencyLimit();
}

void EndpointPool::SetSharers(uint32_t sharers) {
  if (sharers != sharers_) {
    sharers_ = sharers;
    ResetConcurrencyLimit();
  }
}

void EndpointPool::ResetConcurrencyLimit() {
  const double slots = std::max(1U, entry.slots);
  concurrency_limit_ = std::clamp(
      kInitialStatementsPerSlot * slots / std::max(1U, sharers_), 1.0, slots);
}

bool EndpointPool::IsListedHolder(const VmId& vm) const {
  return IsForwarding() &&
         std::any_of(holders->peers.begin(), holders->peers.end(),
                     [&](const EndpointHolder& it) { return it.vm == vm; });
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
  const Duration backoff =
      std::min(kInitialFailureBackoff * (1 << std::min(failures, 5U)),
               kMaxFailureBackoff);
  ++failures;
  backoff_until_ = now + backoff;
}

void EndpointPool::RecordConnectionRefused(TimePoint now) {
  const Duration backoff =
      kOpenBackoff *
      (1 << std::min(open_refusal_count_, kMaxOpenBackoffDoublings));
  ++open_refusal_count_;
  connection_refused_at_ = now;
  open_backoff_until_ = now + backoff;
}

void EndpointPool::RecordUse(TimePoint now) {
  const Duration interval = std::min<Duration>(
      now - std::exchange(last_used_at_, now), kMaxUseInterval);
  mean_interval_ += (interval - mean_interval_) / kMeanDivisor;
  open_refusal_count_ = 0;
}

Duration EndpointPool::GetScaledIdleTimeout(double connections_per_vm) const {
  return Duration(static_cast<Duration::rep>(
      connections_per_vm * static_cast<double>(mean_interval_.count())));
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
  const Duration retention =
      kAppliedPointRetention *
      (1 << std::min(behind_streak_, kMaxBehindDoublings));
  return now - applied_at_ < retention && applied_ < point;
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
