#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_REPLICA_RESUMER_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_REPLICA_RESUMER_H_

#include <map>
#include <span>

#include "control/failover/endpoint_commands.h"
#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** How often a replica that may be paused is looked at. */
inline constexpr Duration kPausedReplicaPollInterval =
    std::chrono::milliseconds(700);
/** An abandoned attempt is usually followed by another one within this time,
    which pauses the same replicas again. */
inline constexpr Duration kReplicaResumeDelay = std::chrono::milliseconds(1500);
/** For how long: an order without an answer may be carried out up to 12 s later
    (users' pages). */
inline constexpr Duration kPausedReplicaWatchPeriod = std::chrono::seconds(14);

/** Lets replicas receive again that an abandoned attempt has paused, or may yet
    pause by an order that is still under way.

    @tparam O  @see EndpointCommandSender
    @tparam T  offers Now() and After()
*/
template <EndpointCommandSender O, class T>
class ReplicaResumer {
 public:
  /** @param orders  outlives this
      @param timing  outlives this
  */
  ReplicaResumer(O& orders, T& timing) : orders_(orders), timing_(timing) {}

  /** Looks after a replica that an abandoned attempt may have paused; resumes
      it unless a new attempt begins first. */
  void Release(const EndpointEntry& replica) {
    Entry& entry = entries_[replica.id];
    entry.until = timing_.Now() + kPausedReplicaWatchPeriod;
    const uint64_t round = entry.round = ++rounds_;
    timing_.After(kReplicaResumeDelay, [this, replica, round] {
      if (IsCurrent(replica.id, round)) {
        Ask(replica, {EndpointCommandKind::kReport, {}}, round);
      }
    });
  }

  /** Resumes a replica if it is paused. */
  void Check(const EndpointEntry& replica) {
    Entry& entry = entries_[replica.id];
    entry.until = timing_.Now();
    entry.round = ++rounds_;
    Ask(replica, {EndpointCommandKind::kReport, {}}, entry.round);
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

  bool IsCurrent(const EndpointId& id, uint64_t round) const {
    const auto it = entries_.find(id);
    return it != entries_.end() && it->second.round == round;
  }

  void Ask(const EndpointEntry& replica,
           EndpointCommand order,
           uint64_t round) {
    orders_.Send(
        replica, order, kPausedReplicaPollInterval,
        [this, replica, kind = order.kind, round](
            std::error_code ec, const ReplicationStatus& standing) {
          if (!IsCurrent(replica.id, round)) {
            return;
          }
          const bool paused = !ec && standing.paused_at > Term{};
          const bool settled = !ec && !paused;
          if (settled && timing_.Now() >= entries_[replica.id].until) {
            entries_.erase(replica.id);
            return;
          }
          // A replica is resumed only if it says that it is paused:
          // an order without an answer may be carried out in the
          // middle of a later attempt.
          const EndpointCommandKind next = paused
                                               ? EndpointCommandKind::kResume
                                               : EndpointCommandKind::kReport;
          timing_.After(settled ? 2 * kPausedReplicaPollInterval
                        : paused && kind == EndpointCommandKind::kReport
                            ? Duration(0)
                            : kPausedReplicaPollInterval,
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

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_REPLICA_RESUMER_H_
