#ifndef MAGNOLIAREEL_TESTS_SOAK_ORDER_FAULTS_H_
#define MAGNOLIAREEL_TESTS_SOAK_ORDER_FAULTS_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>

#include "net/net.h"
#include "standins/site/site_server.h"
#include "tests/soak/database_faults.h"
#include "tests/soak/membership_faults.h"

namespace magnoliareel {

/** Kinds of faults around the order of a promotion. */
struct OrderFaultKinds {
  /** Some orders have no answer and are carried out 0.2 to 3.7 s later. */
  bool has_late_orders = false;
  /** The node that gave an order is killed or paused. */
  bool interrupts_holders = false;
  /** A demoted primary crashes and leads its old term again; in half of the
      cases paused replicas restart as well. */
  bool demoted_lead_again = false;
  /** The database to be promoted receives nothing from the order on. */
  bool ordered_receive_nothing = false;
  /** Half of the cuts of single nodes close connections. */
  bool refuses_cut_nodes = false;
  /** The primary drains for a moment every 2 to 4 s, so that another database
      is promoted. */
  bool drains_primaries = false;
  /** The nodes are told to stop or killed, and start again, one after the
      other. */
  bool restarts_nodes = false;
  /** Databases have two slots, and new connections and promotions are slow. */
  bool has_small_databases = false;

  bool operator==(const OrderFaultKinds&) const = default;
};

/** @param text  words separated by commas: late, holder, back, deaf, refuse,
                 drain, roll, small, in the order of the members of
   OrderFaultKinds; may be empty
    @returns     the kinds, or none if there is an unknown word */
std::optional<OrderFaultKinds> ParseOrderFaultKinds(std::string_view text);

/** Injects faults between the order of a promotion and its effect. It orders
    nothing itself; other schedules provoke promotions.

    Databases crash for a moment, also while another one is absent: they keep
    their logs, so no acknowledged commit ends with them. */
class OrderFaults {
 public:
  /** @param loop       schedules the faults; outlives this object
      @param site       the site with the databases
      @param databases  injects faults into the databases
      @param membership finds the primary
      @param kinds      the faults to inject
      @param node_count number of nodes
      @param seed       seed of every random choice
  */
  OrderFaults(EventLoop& loop,
              SiteServer& site,
              DatabaseFaults& databases,
              MembershipFaults& membership,
              const OrderFaultKinds& kinds,
              size_t node_count,
              uint64_t seed);

  /** Begins with the faults that don't wait for an order. */
  void Begin();
  /** Handles a call for a promotion.

      @returns as the observer of SiteServer::SetPromotionObserver() */
  Duration HandleCall(const PromotionCall& call);
  /** Injects no further faults. */
  void End() { has_ended_ = true; }

 private:
  size_t Choose(size_t count) { return random_() % count; }
  Duration ChooseDuration(int64_t min_ms, int64_t max_ms);
  void InterruptHolder(size_t node);
  void RestartNode(size_t node);
  void DrainPrimary();
  void WatchDemotions();
  void RevertDemotion();
  void Restart(size_t member);

  EventLoop& loop_;
  SiteServer& site_;
  DatabaseFaults& databases_;
  MembershipFaults& membership_;
  const OrderFaultKinds kinds_;
  const size_t node_count_;
  std::mt19937_64 random_;
  LoopTimer watch_timer_;
  bool was_demoted_ = false;
  bool has_ended_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_SOAK_ORDER_FAULTS_H_
