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
  /** @param commands  outlives this
      @param timing  outlives this
  */
  ReplicaResumer(O& commands, T& timing)
      : commands_(commands), timing_(timing) {}

  /** Looks after a replica that an abandoned attempt may have paused; resumes
      it unless a new attempt begins first. */
  void ScheduleResume(const EndpointEntry& replica) {
    Entry& entry = entries_[replica.id];
    entry.watch_until = timing_.Now() + kPausedReplicaWatchPeriod;
    const uint64_t generation = entry.generation = ++last_generation_;
    timing_.After(kReplicaResumeDelay, [this, replica, generation] {
      if (IsCurrent(replica.id, generation)) {
        SendCommand(replica, {EndpointCommandKind::kReport, {}}, generation);
      }
    });
  }

  /** Resumes a replica if it is paused. */
  void ResumeIfPaused(const EndpointEntry& replica) {
    Entry& entry = entries_[replica.id];
    entry.watch_until = timing_.Now();
    entry.generation = ++last_generation_;
    SendCommand(replica, {EndpointCommandKind::kReport, {}}, entry.generation);
  }

  /** Leaves replicas alone, as a new attempt takes care of them. */
  void Cancel(std::span<const EndpointEntry> replicas) {
    for (const EndpointEntry& it : replicas) {
      entries_.erase(it.id);
    }
  }

 private:
  struct Entry {
    TimePoint watch_until;
    uint64_t generation = 0;
  };

  bool IsCurrent(const EndpointId& id, uint64_t generation) const {
    const auto it = entries_.find(id);
    return it != entries_.end() && it->second.generation == generation;
  }

  void SendCommand(const EndpointEntry& replica,
                   EndpointCommand command,
                   uint64_t generation) {
    commands_.Send(
        replica, command, kPausedReplicaPollInterval,
        [this, replica, kind = command.kind, generation](
            std::error_code ec, const ReplicationStatus& status) {
          if (!IsCurrent(replica.id, generation)) {
            return;
          }
          const bool paused = !ec && status.paused_at > Term{};
          const bool receiving = !ec && !paused;
          if (receiving && timing_.Now() >= entries_[replica.id].watch_until) {
            entries_.erase(replica.id);
            return;
          }
          // A replica is resumed only if it says that it is paused:
          // an order without an answer may be carried out in the
          // middle of a later attempt.
          const EndpointCommandKind next = paused
                                               ? EndpointCommandKind::kResume
                                               : EndpointCommandKind::kReport;
          timing_.After(receiving ? 2 * kPausedReplicaPollInterval
                        : paused && kind == EndpointCommandKind::kReport
                            ? Duration(0)
                            : kPausedReplicaPollInterval,
                        [this, replica, next, generation] {
                          if (IsCurrent(replica.id, generation)) {
                            SendCommand(replica, {next, {}}, generation);
                          }
                        });
        });
  }

  O& commands_;
  T& timing_;
  std::map<EndpointId, Entry> entries_;
  uint64_t last_generation_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_REPLICA_RESUMER_H_
