#ifndef MAGNOLIAREEL_TESTS_PLACEMENT_PLACEMENT_FLEET_H_
#define MAGNOLIAREEL_TESTS_PLACEMENT_PLACEMENT_FLEET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "placement/placement.h"
#include "relay/relay.h"
#include "tests/traffic/event_queue.h"

namespace magnoliareel {

/** How the VMs of a PlacementFleet choose endpoints. */
enum class PlacementRule {
  /** The least sum of estimated latency and fixed penalties. */
  kFormer,
  kAdaptive,
};

/** Size, places and load of a PlacementFleet. Sites 0 and 1 are one region, 2
    and 3 the next one, and so on. */
struct FleetOptions {
  PlacementRule rule = PlacementRule::kAdaptive;
  uint64_t seed = 1;
  /** Site of each VM and of each endpoint. */
  std::vector<size_t> vm_sites;
  std::vector<size_t> endpoint_sites;
  uint32_t slots = 4;
  Duration mean_run_time = std::chrono::milliseconds(20);
  Duration objective = std::chrono::milliseconds(800);
};

/** A read that has ended. */
struct FleetRead {
  TimePoint began_at;
  Duration time{};
  size_t vm = 0;
  size_t endpoint = 0;
  Distance distance{};
  /** Attempts that failed or were not answered in time. */
  uint32_t failures = 0;
  bool succeeded = false;
};

/** VMs that place reads on endpoints with queues, under virtual time and
   without a network. VMs share nothing. */
class PlacementFleet {
 public:
  explicit PlacementFleet(FleetOptions options);

  /** Factor of the run times at an endpoint. */
  void SetSlowness(size_t endpoint, double factor) {
    endpoints_[endpoint].slowness = factor;
  }
  /** Share of the reads that an endpoint fails after they ran. */
  void SetFailureShare(size_t endpoint, double share) {
    endpoints_[endpoint].failure_share = share;
  }
  /** A silent endpoint answers no reads that reach it. */
  void SetSilent(size_t endpoint, bool is_silent) {
    endpoints_[endpoint].is_silent = is_silent;
  }
  /** Sends reads from the VMs of one site.

      @param site   the site
      @param rate   reads per second of the site
      @param until  end of the load
  */
  void AddLoad(size_t site, double rate, TimePoint until);
  EventQueue& GetQueue() { return queue_; }
  /** @returns the reads that began in a period and have ended */
  std::vector<FleetRead> ListReads(TimePoint begin, TimePoint end) const;
  /** @returns the largest share that leaves the site of a VM */
  double GetSpilloverShare(size_t vm) const {
    return vms_[vm].placement.GetSpilloverShare(PlacementLevel::kSite);
  }

 private:
  /** A read in progress. */
  struct Attempt {
    FleetRead read;
    std::vector<size_t> avoided;
    TimePoint sent_at;
  };
  struct Vm {
    size_t site = 0;
    std::vector<EndpointPool> pools;
    ReadPlacement placement;
    /** Reads that wait for each endpoint; the pools know their number. */
    std::vector<std::deque<std::shared_ptr<Attempt>>> queues;
  };
  struct Endpoint {
    size_t site = 0;
    double slowness = 1;
    double failure_share = 0;
    bool is_silent = false;
    uint32_t running = 0;
    std::deque<std::function<void()>> waiting;
  };
  void BeginNext(size_t site, double rate, TimePoint until);
  void Send(const std::shared_ptr<Attempt>& attempt);
  /** Sends the reads that the concurrency limit of an endpoint allows. */
  void StartQueued(size_t vm, size_t endpoint);
  void Arrive(const std::shared_ptr<Attempt>& attempt);
  void Run(const std::shared_ptr<Attempt>& attempt);
  void HandleReply(const std::shared_ptr<Attempt>& attempt, bool succeeded);
  void HandleTimeout(const std::shared_ptr<Attempt>& attempt);
  void Finish(const Attempt& attempt, bool succeeded);
  size_t Choose(Vm& vm, const Attempt& attempt);
  Duration GetDelay(Distance distance) const;
  Distance Measure(size_t site, size_t other) const;

  EventQueue queue_;
  const FleetOptions options_;
  std::vector<Vm> vms_;
  std::vector<Endpoint> endpoints_;
  std::vector<FleetRead> reads_;
  std::mt19937_64 random_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_PLACEMENT_PLACEMENT_FLEET_H_
