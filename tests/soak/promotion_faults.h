#ifndef MAGNOLIAREEL_TESTS_SOAK_PROMOTION_FAULTS_H_
#define MAGNOLIAREEL_TESTS_SOAK_PROMOTION_FAULTS_H_

#include <cstdint>
#include <memory>
#include <random>
#include <span>

#include "net/net.h"
#include "tests/soak/database_faults.h"
#include "tests/soak/link_proxy.h"
#include "tests/soak/membership_faults.h"

namespace magnoliareel {

/** Injects series of faults, each of which provokes a promotion while the
    primary lives: its replicas receive nothing, so that commits stall, and it
    answers late to all nodes or is cut off some of them. Then a replica
   receives again: one that joins behind the order at the latest, or one that
   was paused for the promotion and restarts, which ends the pause. Until the
   promotion takes effect, such a primary may acknowledge commits through it.

    No database is down or absent beside a restarting or leaving replica, so
    each acknowledged commit stays on a database that exists.
*/
class PromotionFaults {
 public:
  /** @param loop              schedules the faults; outlives this object
      @param site              the site with the databases
      @param databases         injects faults into the databases
      @param proxies           the proxy of each database
      @param membership        replaces members and cuts links
      @param seed              seed of every random choice
      @param is_database_down  true while a database is down or absent; shared
                               with the faults that stop databases
  */
  PromotionFaults(EventLoop& loop,
                  SiteServer& site,
                  DatabaseFaults& databases,
                  std::span<const std::unique_ptr<LinkProxy>> proxies,
                  MembershipFaults& membership,
                  uint64_t seed,
                  bool& is_database_down);

  /** Schedules series of faults, spread over a period.

      @param count   number of series
      @param period  time within which they begin
  */
  void Schedule(int64_t count, Duration period);
  /** Ends all faults but those of the membership. */
  void End();

 private:
  size_t Choose(size_t count) { return random_() % count; }
  Duration ChooseDuration(int64_t min_ms, int64_t max_ms);
  void BeginSeries();
  void StallCommits(Duration delay);
  void HidePrimary(size_t primary, Duration duration);
  void DelayAnswers(size_t member, Duration duration);
  void WaitForPausedReplica(Duration remaining);
  void RestartReplica(size_t member);

  EventLoop& loop_;
  SiteServer& site_;
  DatabaseFaults& databases_;
  const std::span<const std::unique_ptr<LinkProxy>> proxies_;
  MembershipFaults& membership_;
  std::mt19937_64 random_;
  bool& is_database_down_;
  bool has_ended_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_SOAK_PROMOTION_FAULTS_H_
