#ifndef MAGNOLIAREEL_TESTS_SOAK_SOAK_RUN_H_
#define MAGNOLIAREEL_TESTS_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/net.h"
#include "standins/site/site_server.h"
#include "tests/soak/caller_connections.h"
#include "tests/soak/link_proxy.h"
#include "tests/traffic/traffic_caller.h"
#include "tests/traffic/traffic_history.h"

namespace magnoliareel {

/** What one run of the soak does. Ports follow scripts/site-cluster.sh: the
    site at base_port, proxies behind it, node N at base_port + 10 * N. */
struct SoakSettings {
  int64_t base_port = 25000;
  int64_t seed = 1;
  int64_t nodes = 3;
  int64_t callers_per_node = 3;
  /** Time with faults; a calm end follows. */
  int64_t faults_s = 10;
  /** Faults within that time; they overlap. */
  int64_t faults = 14;
};

/** One run of the fault soak: callers on real nodes before a stand-in site,
    whose links, store and databases misbehave, while the nodes get signals.

    The run starts no process and sends no signal: it says on standard output
    what is to be done with a node, a line each ("start 2", "pause 1"), and
    scripts/run-soak does it.
*/
class SoakRun {
 public:
  /** @param loop      serves the run; outlives it
      @param settings  see there
  */
  SoakRun(EventLoop& loop, const SoakSettings& settings);

  /** Starts to listen, and the run with it.

      @returns the system's error if an address cannot be used
  */
  std::error_code Start();
  /** @returns one line for each broken promise; valid once the loop has ended
   */
  std::vector<std::string> Check() const;
  /** @returns operations that callers have ended */
  size_t CountOperations() const { return history_.size(); }

 private:
  SocketAddress GetAddress(int64_t offset) const;
  LinkProxy& GetProxy(size_t member) { return *proxies_[member + 1]; }
  void AwaitCallers();
  void BeginFaults();
  void Disturb();
  void DisturbDatabases(size_t member, Duration span);
  void DisturbLinks(LinkProxy& proxy, Duration span);
  void DisturbStore(Duration span);
  void DisturbNode(size_t node, Duration span);
  void Order(std::string_view fault, size_t member);
  void OrderLater(Duration pause, std::string fault, size_t member);
  void TellNode(std::string_view action, size_t node) const;
  void Heal();
  void BeginCalm();
  void End();

  EventLoop& loop_;
  const SoakSettings settings_;
  std::mt19937_64 random_;
  SiteServer site_;
  /** The store's, then one for each database. */
  std::vector<std::unique_ptr<LinkProxy>> proxies_;
  std::vector<CallerOperation> history_;
  CallerConnections connections_;
  std::vector<std::unique_ptr<TrafficCaller<CallerConnections>>> callers_;
  std::vector<std::string> complaints_;
  TimePoint began_at_;
  bool database_down_ = false;
  bool healed_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_SOAK_SOAK_RUN_H_
