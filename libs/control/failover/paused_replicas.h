#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_PAUSED_REPLICAS_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_PAUSED_REPLICAS_H_

#include <map>
#include <span>

#include "control/failover/endpoint_orders.h"
#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** How often a replica that may be paused is looked at. */
inline constexpr Duration kPausedPeriod = std::chrono::milliseconds(700);
/** For how long: an order without an answer may be carried out up to 12 s later
    (users' pages). */
inline constexpr Duration kPausedWatch = std::chrono::seconds(14);

/** Lets replicas receive again that an abandoned attempt has paused, or may yet
    pause by an order that is still under way.

    @tparam O  @see EndpointOrders
    @tparam T  offers Now() and After()
*/
template <EndpointOrders O, class T>
class PausedReplicas {
 public:
  /** @param orders  outlives this
      @param timing  outlives this
  */
  PausedReplicas(O& orders, T& timing) : orders_(orders), timing_(timing) {}

  /** Resumes a replica, and looks after it for a while. */
  void Release(const EndpointEntry& replica) {
    Entry& entry = entries_[replica.id];
    entry.until = timing_.Now() + kPausedWatch;
    Start(replica, {OrderKind::kResume, {}});
  }

  /** Resumes a replica whose pause has served its purpose. */
  void Resume(const EndpointEntry& replica) {
    Entry& entry = entries_[replica.id];
    entry.until = timing_.Now();
    Start(replica, {OrderKind::kResume, {}});
  }

  /** Resumes a replica if it is paused. */
  void Check(const EndpointEntry& replica) {
    Entry& entry = entries_[replica.id];
    entry.until = timing_.Now();
    Start(replica, {OrderKind::kReport, {}});
  }

  /** Leaves replicas alone, as a new attempt takes care of them. */
  void Forget(std::span<const EndpointEntry> replicas) {
    for (const EndpointEntry& it : replicas) {
      entries_.erase(it.id);
    }
  }

 private:
  struct Entry {
    TimePoint until;
    uint64_t round = 0;
  };

  void Start(const EndpointEntry& replica, EndpointOrder order) {
    const uint64_t round = ++rounds_;
    entries_[replica.id].round = round;
    Ask(replica, order, round);
  }

  bool IsCurrent(const EndpointId& id, uint64_t round) const {
    const auto it = entries_.find(id);
    return it != entries_.end() && it->second.round == round;
  }

  void Ask(const EndpointEntry& replica, EndpointOrder order, uint64_t round) {
    orders_.Send(replica, order, kPausedPeriod,
                 [this, replica, round](std::error_code ec,
                                        const EndpointStanding& standing) {
                   if (!IsCurrent(replica.id, round)) {
                     return;
                   }
                   const bool paused = !ec && standing.paused_at > Term{};
                   const bool settled = !ec && !paused;
                   if (settled && timing_.Now() >= entries_[replica.id].until) {
                     entries_.erase(replica.id);
                     return;
                   }
                   const OrderKind next =
                       settled ? OrderKind::kReport : OrderKind::kResume;
                   timing_.After(settled ? 2 * kPausedPeriod : kPausedPeriod,
                                 [this, replica, next, round] {
                                   if (IsCurrent(replica.id, round)) {
                                     Ask(replica, {next, {}}, round);
                                   }
                                 });
                 });
  }

  O& orders_;
  T& timing_;
  std::map<EndpointId, Entry> entries_;
  uint64_t rounds_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_PAUSED_REPLICAS_H_
