#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_REPLICA_RESUMER_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_REPLICA_RESUMER_H_

#include <algorithm>
#include <map>
#include <span>
#include <utility>
#include <vector>

#include "control/failover/endpoint_commands.h"
#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** Poll interval for a replica that may be paused; also the timeout of each
    command to it. */
inline constexpr Duration kPausedReplicaPollInterval =
    std::chrono::milliseconds(700);
/** Delay before replicas of an abandoned attempt are resumed. The next attempt
    usually starts within this time and pauses the same replicas again. */
inline constexpr Duration kReplicaResumeDelay = std::chrono::milliseconds(1500);
/** Time for which a replica is polled after an abandoned attempt. The endpoint
    may execute a command whose answer was lost up to 12 s later (platform
    documentation). */
inline constexpr Duration kPausedReplicaWatchPeriod = std::chrono::seconds(14);

/** Resumes replication on replicas that a replacement attempt has paused, or
    may still pause by a command whose answer was lost.

    @tparam C  @see EndpointCommandSender
    @tparam T  provides Now() and After()
*/
template <EndpointCommandSender C, class T>
class ReplicaResumer {
 public:
  /** @param commands  must outlive the resumer
      @param timing    must outlive the resumer
  */
  ReplicaResumer(C& commands, T& timing)
      : commands_(commands), timing_(timing) {}

  /** A replica that is to be resumed. */
  struct PendingResume {
    EndpointEntry replica;
    /** Time of the first query. */
    TimePoint due_at;
    /** Time until which the replica is polled. */
    TimePoint watch_until;
  };

  /** Resumes a replica that an abandoned attempt may have paused, unless
      Cancel() is called first.

      Polls the replica for kPausedReplicaWatchPeriod.

      @param replica  the replica
  */
  void ScheduleResume(const EndpointEntry& replica) {
    const TimePoint now = timing_.Now();
    Schedule(
        {replica, now + kReplicaResumeDelay, now + kPausedReplicaWatchPeriod});
  }

  /** Continues what Cancel() has ended, because the attempt was abandoned.
      Replicas that were scheduled since are left as they are.

      @param resumes  result of Cancel()
  */
  void Restore(std::span<const PendingResume> resumes) {
    for (const PendingResume& it : resumes) {
      if (!entries_.contains(it.replica.id)) {
        Schedule(it);
      }
    }
  }

  /** Queries a replica at once and resumes it if it is paused.

      @param replica  the replica
  */
  void ResumeIfPaused(const EndpointEntry& replica) {
    const TimePoint now = timing_.Now();
    const uint64_t generation = ++last_generation_;
    entries_[replica.id] = {{replica, now, now}, generation};
    SendCommand(replica, {EndpointCommandKind::kReport, {}}, generation);
  }

  /** Stops polling and resuming replicas, because a new attempt controls them.

      @param replicas  the replicas
      @returns         what was still to be done
  */
  std::vector<PendingResume> Cancel(std::span<const EndpointEntry> replicas) {
    std::vector<PendingResume> cancelled;
    for (const EndpointEntry& it : replicas) {
      if (auto node = entries_.extract(it.id)) {
        cancelled.push_back(std::move(node.mapped().resume));
      }
    }
    return cancelled;
  }

 private:
  struct Entry {
    PendingResume resume;
    uint64_t generation = 0;
  };

  void Schedule(const PendingResume& resume) {
    const uint64_t generation = ++last_generation_;
    entries_[resume.replica.id] = {resume, generation};
    const Duration delay = std::max(Duration(0), resume.due_at - timing_.Now());
    timing_.After(delay, [this, replica = resume.replica, generation] {
      if (IsCurrent(replica.id, generation)) {
        SendCommand(replica, {EndpointCommandKind::kReport, {}}, generation);
      }
    });
  }

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
          if (receiving &&
              timing_.Now() >= entries_[replica.id].resume.watch_until) {
            entries_.erase(replica.id);
            return;
          }
          // Resumes only a replica that reports a pause: a resume command
          // whose answer is lost may be executed in the middle of a later
          // attempt.
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

  C& commands_;
  T& timing_;
  std::map<EndpointId, Entry> entries_;
  uint64_t last_generation_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_REPLICA_RESUMER_H_
