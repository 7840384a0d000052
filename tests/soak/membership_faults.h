#ifndef MAGNOLIAREEL_TESTS_SOAK_MEMBERSHIP_FAULTS_H_
#define MAGNOLIAREEL_TESTS_SOAK_MEMBERSHIP_FAULTS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string_view>

#include "net/net.h"
#include "standins/site/site_server.h"
#include "tests/soak/database_faults.h"
#include "tests/soak/link_proxy.h"

namespace magnoliareel {

/** Injects faults of a group's membership and of single links: replicas that
    receive nothing, replicas that leave and are replaced by new members, and
    databases that some nodes don't reach while others do. They come in series
    and overlap.

    A member leaves only while it is a replica of a running primary and no other
    database is down or absent, so each acknowledged commit stays on a database
    that exists.
*/
class MembershipFaults {
 public:
  /** @param loop              schedules the faults; outlives this object
      @param site              the site with the databases
      @param databases         injects faults into the databases
      @param proxies           the proxy of each database
      @param node_count        number of nodes
      @param seed              seed of every random choice
      @param is_database_down  true while a database is down or absent; shared
                               with the faults that stop databases
  */
  MembershipFaults(EventLoop& loop,
                   SiteServer& site,
                   DatabaseFaults& databases,
                   std::span<const std::unique_ptr<LinkProxy>> proxies,
                   size_t node_count,
                   uint64_t seed,
                   bool& is_database_down);

  /** Schedules faults.

      @param count   number of faults
      @param period  time within which they begin
  */
  void Schedule(int64_t count, Duration period);
  /** Lets every second cut of a node close the node's connections instead of
      leaving them open without an answer. */
  void RefuseCutNodes() { refuses_cut_nodes_ = true; }
  /** Ends all faults; a new member takes the place of one that has left. */
  void End();
  /** @returns the index of the running primary, or none */
  std::optional<size_t> FindPrimary() const;
  /** Disconnects a member from replication for a while. */
  void StopReplication(size_t member, Duration duration);
  /** Cuts some of the nodes off a database for a while. At least one node still
      reaches it; half of the cuts leave only one. */
  void CutFromSomeNodes(size_t member, Duration duration);
  /** Drains a member and ends it once it is a replica. A new member takes its
      place after the absence. Does nothing while another is being replaced.

      @param member   index of the member
      @param absence  time until the new member starts
      @param left     called once the member has ended
  */
  void ReplaceMember(size_t member,
                     Duration absence,
                     std::function<void()> left);
  /** Starts a new member in the place of one that has left, before the
      promotion that was just ordered takes effect. */
  void JoinBehindPromotion();

 private:
  size_t Choose(size_t count) { return random_() % count; }
  Duration ChooseDuration(int64_t min_ms, int64_t max_ms);
  void InjectFault();
  void CutLink(size_t node, size_t member, Duration duration);
  void EndDrainedMember(size_t member,
                        Duration absence,
                        std::function<void()> left);
  void JoinIfLeft(size_t member);
  void CutPrimaryWhileReplicaJoins();
  void StallCommitsBehindCut(size_t absent);

  EventLoop& loop_;
  SiteServer& site_;
  DatabaseFaults& databases_;
  const std::span<const std::unique_ptr<LinkProxy>> proxies_;
  const size_t node_count_;
  std::mt19937_64 random_;
  bool& is_database_down_;
  bool is_replacing_ = false;
  bool refuses_cut_nodes_ = false;
  uint32_t cut_count_ = 0;
  bool has_ended_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_SOAK_MEMBERSHIP_FAULTS_H_
