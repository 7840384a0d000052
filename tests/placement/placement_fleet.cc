#include "tests/placement/placement_fleet.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "relay/core/traffic_limits.h"

namespace magnoliareel {
namespace {

// A read without an answer for so long goes to another endpoint; the relay
// repeats reads at silent endpoints likewise.
constexpr Duration kReadTimeout = std::chrono::milliseconds(500);
constexpr uint32_t kMaxFailures = 3;

}  // namespace

PlacementFleet::PlacementFleet(FleetOptions options)
    : options_(std::move(options)), random_(options_.seed) {
  for (const size_t site : options_.endpoint_sites) {
    endpoints_.emplace_back().site = site;
  }
  for (const size_t site : options_.vm_sites) {
    Vm& vm = vms_.emplace_back();
    vm.site = site;
    vm.queues.resize(endpoints_.size());
    for (const Endpoint& it : endpoints_) {
      EndpointEntry entry;
      entry.slots = options_.slots;
      vm.pools.emplace_back(entry, Measure(site, it.site));
      vm.pools.back().SetSharers(
          static_cast<uint32_t>(options_.vm_sites.size()));
    }
  }
}

Distance PlacementFleet::Measure(size_t site, size_t other) const {
  return site == other           ? Distance::kSameSite
         : site / 2 == other / 2 ? Distance::kSameRegion
                                 : Distance::kRemote;
}

Duration PlacementFleet::GetDelay(Distance distance) const {
  switch (distance) {
    case Distance::kSameSite:
      return std::chrono::microseconds(100);
    case Distance::kSameRegion:
      return std::chrono::microseconds(3500);
    case Distance::kRemote:
      return std::chrono::milliseconds(20);
  }
  return {};
}

void PlacementFleet::AddLoad(size_t site, double rate, TimePoint until) {
  BeginNext(site, rate, until);
}

void PlacementFleet::BeginNext(size_t site, double rate, TimePoint until) {
  const Duration pause(static_cast<int64_t>(
      std::exponential_distribution<>(rate)(random_) * 1e6));
  if (queue_.Now() + pause >= until) {
    return;
  }
  queue_.After(pause, [this, site, rate, until] {
    std::vector<size_t> vms;
    for (size_t it = 0; it < vms_.size(); ++it) {
      if (vms_[it].site == site) {
        vms.push_back(it);
      }
    }
    auto attempt = std::make_shared<Attempt>();
    attempt->read.began_at = queue_.Now();
    attempt->read.vm = vms[random_() % vms.size()];
    Send(attempt);
    BeginNext(site, rate, until);
  });
}

size_t PlacementFleet::Choose(Vm& vm, const Attempt& attempt) {
  const TimePoint now = queue_.Now();
  std::vector<PlacementCandidate> candidates;
  size_t best = 0;
  Duration best_cost = Duration::max();
  for (size_t it = 0; it < vm.pools.size(); ++it) {
    EndpointPool& pool = vm.pools[it];
    const bool avoided =
        std::find(attempt.avoided.begin(), attempt.avoided.end(), it) !=
        attempt.avoided.end();
    const Duration penalty =
        avoided || pool.IsBackedOff(now) ? kFailedEndpointPenalty : Duration(0);
    candidates.push_back({.record = &pool.record,
                          .level = GetPlacementLevel(pool.distance),
                          .running = pool.running,
                          .queued = static_cast<uint32_t>(pool.queue.size()),
                          .limit = pool.GetConcurrencyLimit(),
                          .penalty = penalty});
    Duration cost = pool.EstimateLatency() + penalty;
    if (pool.distance == Distance::kRemote) {
      cost += options_.objective / kRemotePenaltyDivisor;
    } else if (pool.distance == Distance::kSameRegion) {
      cost += kRegionPenalty;
    }
    if (cost < best_cost) {
      best = it;
      best_cost = cost;
    }
  }
  if (options_.rule == PlacementRule::kFormer) {
    return best;
  }
  if (vm.placement.IsReviewDue(now)) {
    vm.placement.Review(candidates, now);
  }
  return vm.placement.Choose(candidates, options_.objective, now, random_());
}

void PlacementFleet::Send(const std::shared_ptr<Attempt>& attempt) {
  Vm& vm = vms_[attempt->read.vm];
  const size_t endpoint = Choose(vm, *attempt);
  attempt->read.endpoint = endpoint;
  attempt->read.distance = vm.pools[endpoint].distance;
  vm.pools[endpoint].Enqueue({});
  vm.queues[endpoint].push_back(attempt);
  StartQueued(attempt->read.vm, endpoint);
}

void PlacementFleet::StartQueued(size_t vm, size_t endpoint) {
  const TimePoint now = queue_.Now();
  EndpointPool& pool = vms_[vm].pools[endpoint];
  std::deque<std::shared_ptr<Attempt>>& queue = vms_[vm].queues[endpoint];
  while (!queue.empty() && pool.running < pool.GetConcurrencyLimit()) {
    const std::shared_ptr<Attempt> attempt = queue.front();
    queue.pop_front();
    pool.queue.pop_front();
    pool.record.RecordSent(pool.running, now);
    ++pool.running;
    attempt->sent_at = now;
    queue_.After(GetDelay(pool.distance), [this, attempt] { Arrive(attempt); });
  }
}

void PlacementFleet::Arrive(const std::shared_ptr<Attempt>& attempt) {
  Endpoint& endpoint = endpoints_[attempt->read.endpoint];
  if (endpoint.is_silent) {
    queue_.After(kReadTimeout, [this, attempt] { HandleTimeout(attempt); });
    return;
  }
  if (endpoint.running < options_.slots) {
    Run(attempt);
  } else {
    endpoint.waiting.push_back([this, attempt] { Run(attempt); });
  }
}

void PlacementFleet::Run(const std::shared_ptr<Attempt>& attempt) {
  const size_t index = attempt->read.endpoint;
  Endpoint& endpoint = endpoints_[index];
  ++endpoint.running;
  const double run_us = std::exponential_distribution<>(1)(random_) *
                        endpoint.slowness *
                        static_cast<double>(options_.mean_run_time.count());
  const bool succeeds =
      std::uniform_real_distribution<>(0, 1)(random_) >= endpoint.failure_share;
  queue_.After(Duration(static_cast<int64_t>(run_us)), [this, attempt, index,
                                                        succeeds] {
    Endpoint& it = endpoints_[index];
    --it.running;
    if (!it.waiting.empty()) {
      const std::function<void()> next = std::move(it.waiting.front());
      it.waiting.pop_front();
      next();
    }
    queue_.After(GetDelay(attempt->read.distance),
                 [this, attempt, succeeds] { HandleReply(attempt, succeeds); });
  });
}

void PlacementFleet::HandleReply(const std::shared_ptr<Attempt>& attempt,
                                 bool succeeded) {
  const TimePoint now = queue_.Now();
  EndpointPool& pool = vms_[attempt->read.vm].pools[attempt->read.endpoint];
  --pool.running;
  if (succeeded) {
    pool.RecordReply(now - attempt->sent_at, now);
    pool.record.RecordAnswered(now - attempt->sent_at, now);
    StartQueued(attempt->read.vm, attempt->read.endpoint);
    Finish(*attempt, true);
    return;
  }
  // The database's own error goes to the caller.
  pool.RecordActivity(now);
  pool.record.RecordFailed(now);
  ++attempt->read.failures;
  StartQueued(attempt->read.vm, attempt->read.endpoint);
  Finish(*attempt, false);
}

void PlacementFleet::HandleTimeout(const std::shared_ptr<Attempt>& attempt) {
  const TimePoint now = queue_.Now();
  EndpointPool& pool = vms_[attempt->read.vm].pools[attempt->read.endpoint];
  --pool.running;
  if (!pool.IsBackedOff(now)) {
    pool.RecordFailure(now);
  }
  pool.record.RecordFailed(now);
  StartQueued(attempt->read.vm, attempt->read.endpoint);
  attempt->avoided.push_back(attempt->read.endpoint);
  if (++attempt->read.failures > kMaxFailures) {
    Finish(*attempt, false);
    return;
  }
  Send(attempt);
}

void PlacementFleet::Finish(const Attempt& attempt, bool succeeded) {
  FleetRead read = attempt.read;
  read.time = queue_.Now() - read.began_at;
  read.succeeded = succeeded;
  reads_.push_back(read);
}

std::vector<FleetRead> PlacementFleet::ListReads(TimePoint begin,
                                                 TimePoint end) const {
  std::vector<FleetRead> reads;
  std::copy_if(reads_.begin(), reads_.end(), std::back_inserter(reads),
               [begin, end](const FleetRead& it) {
                 return it.began_at >= begin && it.began_at < end;
               });
  return reads;
}

}  // namespace magnoliareel
