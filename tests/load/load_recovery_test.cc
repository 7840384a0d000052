#include <cstdlib>
#include <string>

#include "telemetry/telemetry.h"
#include "tests/load/open_loop_load.h"
#include "tests/traffic/traffic_simulation.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Connections and slots of a member, and the time of a handshake, in a large
// deployment.
constexpr uint32_t kConnections = 125;
constexpr uint32_t kSlots = 5;
constexpr uint32_t kQueue = 40;
constexpr Duration kHandshakeTime = milliseconds(12);
constexpr Duration kMeanRunTime = milliseconds(27);
// Share of the slots that the statements of the steady load occupy, and factor
// of the burst.
constexpr double kSteadyLoad = 0.32;
constexpr double kBurstFactor = 1.7;
// Longest time from the end of a burst until the service is back to what it was
// before: the retries of the operations of the burst.
constexpr Duration kRecoveryTime = seconds(2);
constexpr double kMinServedShare = 0.95;
// At this ratio, handshakes take a twentieth of the time of the statements.
constexpr uint64_t kMinStatementsPerConnection = 9;

/** Shares of the statements that are served in time. */
struct ServedShares {
  double before = 0;
  double burst = 0;
  double after = 0;
  /** Failures of holders, connections opened and statements, of all VMs. */
  uint64_t holder_failures = 0;
  uint64_t connections = 0;
  uint64_t statements = 0;
  std::string Format() const {
    return "served before " + std::to_string(before) + ", in the burst " +
           std::to_string(burst) + ", after it " + std::to_string(after) +
           "; holder failures " + std::to_string(holder_failures) +
           ", connections " + std::to_string(connections) + " for statements " +
           std::to_string(statements);
  }
};

ServedShares PlayBurst(size_t vms, uint64_t seed) {
  GroupOptions options;
  options.seed = seed;
  options.slots = kSlots;
  options.queue = kQueue;
  options.max_connections = kConnections;
  options.handshake_time = kHandshakeTime;
  options.handshakes_wait = true;
  options.mean_run_time = kMeanRunTime;
  TrafficSimulation simulation(vms, options);
  OpenLoopOptions load_options;
  load_options.vms = vms;
  load_options.sessions_per_vm = 1 + 600 / vms;
  load_options.seed = seed;
  load_options.rate = kSteadyLoad * kSlots * 3 /
                      std::chrono::duration<double>(kMeanRunTime).count();
  OpenLoopLoad load(simulation, load_options);
  EventQueue& queue = simulation.GetQueue();
  queue.RunUntil(queue.Now() + seconds(1));
  load.OpenSessions();
  const TimePoint steady = queue.Now() + seconds(3);
  load.RunUntil(steady, 1);
  const TimePoint burst = steady + seconds(4);
  load.RunUntil(burst, 1);
  const TimePoint end = burst + seconds(3);
  load.RunUntil(end, kBurstFactor);
  const TimePoint recovered = end + kRecoveryTime;
  load.RunUntil(recovered + seconds(5), 1);
  queue.RunUntil(queue.Now() + seconds(2));
  ServedShares shares;
  shares.before = load.GetServedShare(steady, burst);
  shares.burst = load.GetServedShare(burst, end);
  shares.after = load.GetServedShare(recovered, recovered + seconds(5));
  for (size_t vm = 0; vm < vms; ++vm) {
    const TrafficCounters& counters = simulation.GetCore(vm).GetCounters();
    shares.holder_failures += counters.holder_failures;
    shares.connections += counters.connections_opened;
  }
  shares.statements = simulation.GetGroup().GetExecutedStatements().size();
  return shares;
}

void CheckBurst(size_t vms) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    const ServedShares shares = PlayBurst(vms, seed);
    const std::string context = std::to_string(vms) + " VMs, seed " +
                                std::to_string(seed) + ": " + shares.Format();
    CHECK_TEXT(shares.before >= kMinServedShare, context.c_str());
    CHECK_TEXT(shares.burst >= kMinServedShare, context.c_str());
    CHECK_TEXT(shares.after >= kMinServedShare, context.c_str());
    // A VM that is slow because of its queue is not a failed one.
    CHECK_TEXT(shares.holder_failures == 0, context.c_str());
    CHECK_TEXT(
        shares.connections * kMinStatementsPerConnection <= shares.statements,
        context.c_str());
  }
}

}  // namespace

// Guards against a burst that ends while the service does not come back: VMs
// that outnumber the connections of a member opened one for nearly every
// statement and every retry, and the handshakes used up the slots (SHORT on the
// large Krajnc site).
TEST_GROUP(LoadRecovery){void setup() override{static LogBuffer log_buffer(0);
StartBufferedLog(log_buffer, "simulated");
}  // namespace magnoliareel
}
;

TEST(LoadRecovery, ServiceIsRestoredAfterABurstAt23Vms) {
  CheckBurst(23);
}

TEST(LoadRecovery, ServiceIsRestoredAfterABurstAt100Vms) {
  CheckBurst(100);
}

TEST(LoadRecovery, ServiceIsRestoredAfterABurstAt300Vms) {
  CheckBurst(300);
}

}  // namespace magnoliareel
