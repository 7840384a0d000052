#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_REPLICA_RESUMER_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_REPLICA_RESUMER_H_

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control/failover/endpoint_commands.h"
#include "core/core.h"
#include "directory/directory.h"
#include "telemetry/telemetry.h"

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

/** Why a replica is resumed. */
enum class ResumeReason {
  /** The attempt that paused it was abandoned. */
  kAbandonedAttempt,
  /** The promotion that it was paused for is in force. */
  kPromotionConfirmed,
  /** An earlier holder of the duty may have left it paused. */
  kDutyClaimed,
};

/** @param reason  why a replica is resumed
    @returns       its name in logs
*/
constexpr std::string_view GetResumeReasonName(ResumeReason reason) {
  switch (reason) {
    case ResumeReason::kAbandonedAttempt:
      return "abandoned_attempt";
    case ResumeReason::kPromotionConfirmed:
      return "promotion_confirmed";
    case ResumeReason::kDutyClaimed:
      return "duty_claimed";
  }
  return "abandoned_attempt";
}

/** Why a replica is resumed, and which pauses may be ended. */
struct ResumeCause {
  ResumeReason reason = ResumeReason::kAbandonedAttempt;
  /** Newest term of the pauses to end; none for the pause that the replica
      reports first. */
  std::optional<Term> pause_term;
  /** Newest term of the pauses to end beside the one reported first. */
  Term late_pause_term = {};
};

/** A replica that is to be resumed. */
struct PendingResume {
  EndpointEntry replica;
  ResumeCause cause;
  /** Time of the first query. */
  TimePoint due_at;
  /** Time until which the replica is polled. */
  TimePoint watch_until;
};

/** Resumes replication on replicas that a replacement attempt has paused, or
    may still pause by a command whose answer was lost.

    A resume has no term and ends every pause. A replica that another VM has
    paused since, at a newer term, is therefore left as it is: that VM may be
    about to order a promotion that relies on the pause.

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

  /** Resumes a replica that an abandoned attempt may have paused, unless
      Cancel() is called first.

      Polls the replica for kPausedReplicaWatchPeriod.

      @param replica  the replica
      @param cause    why it is resumed
  */
  void ScheduleResume(const EndpointEntry& replica, const ResumeCause& cause) {
    const TimePoint now = timing_.Now();
    Schedule({replica, cause, now + kReplicaResumeDelay,
              now + kPausedReplicaWatchPeriod});
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
      @param cause    why it is resumed
  */
  void ResumeIfPaused(const EndpointEntry& replica, ResumeCause cause) {
    const TimePoint now = timing_.Now();
    const uint64_t generation = ++last_generation_;
    Entry& entry = entries_[replica.id];
    if (cause.pause_term) {
      cause.pause_term =
          std::max(entry.resume.cause.pause_term, cause.pause_term);
    }
    entry = {{replica, cause, now, now}, generation};
    SendCommand(replica, {EndpointCommandKind::kReport, {}}, generation);
  }

  /** Queries a replica at once, and resumes it whenever it is found paused
      within kPausedReplicaWatchPeriod.

      @param replica  the replica
      @param cause    why it is resumed
  */
  void WatchPaused(const EndpointEntry& replica, const ResumeCause& cause) {
    const TimePoint now = timing_.Now();
    Schedule({replica, cause, now, now + kPausedReplicaWatchPeriod});
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
    Entry& entry = entries_[resume.replica.id];
    const auto earlier_term = entry.resume.cause.pause_term;
    entry = {resume, generation};
    if (resume.cause.pause_term) {
      entry.resume.cause.pause_term =
          std::max(earlier_term, resume.cause.pause_term);
    }
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
    const ResumeCause cause = entries_[replica.id].resume.cause;
    commands_.Send(
        replica, command, kPausedReplicaPollInterval,
        [this, replica, kind = command.kind, generation, cause](
            std::error_code ec, const ReplicationStatus& status) {
          if (kind == EndpointCommandKind::kResume) {
            LogResume("answered", replica, cause, ec, status);
          }
          if (!IsCurrent(replica.id, generation)) {
            return;
          }
          PendingResume& resume = entries_[replica.id].resume;
          std::optional<Term>& pause_term = resume.cause.pause_term;
          if (!ec && !pause_term) {
            pause_term =
                std::max(status.paused_at, resume.cause.late_pause_term);
          }
          const bool paused = !ec && status.paused_at > Term{} &&
                              status.paused_at <= *pause_term;
          const bool is_settled = !ec && !paused;
          if (is_settled && timing_.Now() >= resume.watch_until) {
            entries_.erase(replica.id);
            return;
          }
          // Resumes only a replica that reports a pause: a resume command
          // whose answer is lost may be executed in the middle of a later
          // attempt.
          const EndpointCommandKind next = paused
                                               ? EndpointCommandKind::kResume
                                               : EndpointCommandKind::kReport;
          timing_.After(is_settled ? 2 * kPausedReplicaPollInterval
                        : paused && kind == EndpointCommandKind::kReport
                            ? Duration(0)
                            : kPausedReplicaPollInterval,
                        [this, replica, next, generation, cause, status] {
                          if (!IsCurrent(replica.id, generation)) {
                            return;
                          }
                          if (next == EndpointCommandKind::kResume) {
                            LogResume("sent", replica, cause, {}, status);
                          }
                          SendCommand(replica, {next, {}}, generation);
                        });
        });
  }

  static void LogResume(std::string_view step,
                        const EndpointEntry& replica,
                        const ResumeCause& cause,
                        std::error_code ec,
                        const ReplicationStatus& status) {
    LogEvent(
        Event::kReplicaResume,
        {{"service", replica.service.value},
         {"endpoint", replica.id.value},
         {"step", std::string(step)},
         {"reason", std::string(GetResumeReasonName(cause.reason))},
         {"error", ec ? ec.message() : "none"},
         {"paused_at", std::to_string(status.paused_at.value)},
         {"own_pause",
          cause.pause_term ? std::to_string(cause.pause_term->value) : "none"},
         {"term", std::to_string(status.term.value)},
         {"received", FormatLogPoint(status.received)}});
  }

  C& commands_;
  T& timing_;
  std::map<EndpointId, Entry> entries_;
  uint64_t last_generation_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_REPLICA_RESUMER_H_
