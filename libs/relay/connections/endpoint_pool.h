#ifndef MAGNOLIAREEL_RELAY_CONNECTIONS_ENDPOINT_POOL_H_
#define MAGNOLIAREEL_RELAY_CONNECTIONS_ENDPOINT_POOL_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "core/core.h"
#include "directory/directory.h"
#include "placement/placement.h"

namespace magnoliareel {

/** Initial backoff after an endpoint has refused a connection: other VMs close
    theirs within a few statements, as they shrink to their share. */
inline constexpr Duration kOpenBackoff = std::chrono::milliseconds(60);

/** A statement that waits in a queue. Lower priorities are served first. */
struct QueuedStatement {
  uint64_t session = 0;
  uint64_t statement_id = 0;
  int priority = 0;
  TimePoint deadline;
  /** Hash of its team's name, for a fast search of the queue. Hashes that
      coincide only delay a statement. */
  uint64_t team_hash = 0;
};

/** Connections to one endpoint, the statements that wait for it, and statistics
    of its recent replies.


    @see PooledConnection, TrafficCore
*/
class EndpointPool {
 public:
  /** @param entry     the endpoint
      @param distance  distance of the endpoint from this VM
  */
  EndpointPool(EndpointEntry entry, Distance distance);

  /** Inserts a statement into the queue, ordered by priority, then by
      deadline. */
  void Enqueue(const QueuedStatement& statement);
  /** Removes a statement that no longer waits.

      @param statement_id  the statement
  */
  void Remove(uint64_t statement_id);

  /** Records a successful reply and adapts the run time estimate and the
      concurrency limit.

      @param run_time  time between sending the statement and the reply
      @param now       the current time
  */
  void RecordReply(Duration run_time, TimePoint now);
  /** Records that the endpoint sent a message, which ends its backoff. */
  void RecordActivity(TimePoint now);
  /** Records that the endpoint refused a statement because its slots and queue
      were full; decreases the concurrency limit.

      @param now  the current time
  */
  void RecordBusy(TimePoint now);
  /** Records that a connection could not be opened or that the endpoint does
      not respond. The endpoint gets no new statements during a backoff that
      doubles with each failure.

      @param now  the current time
  */
  void RecordFailure(TimePoint now);
  /** Records that the endpoint refused a connection because of its connection
      limit.

      @param now  the current time
  */
  void RecordConnectionRefused(TimePoint now);
  /** Records that a connection is used.

      @param now  the current time
  */
  void RecordUse(TimePoint now);
  /** @returns true if the endpoint recently refused a connection because of its
               connection limit

      @param now  the current time
  */
  bool IsAtConnectionLimit(TimePoint now) const;
  /** Records how far the endpoint has applied its log.

      @param applied  the end of the applied log
      @param now      the current time
  */
  void RecordAppliedPoint(LogPoint applied, TimePoint now);

  /** @returns the end of the applied log that the endpoint last reported */
  LogPoint GetAppliedPoint() const { return applied_; }
  /** @returns true if the endpoint may have been draining for some time

      @param limit  the time
      @param now    the current time
  */
  bool HasDrained(Duration limit, TimePoint now) const {
    return entry.draining &&
           (!entry.draining_since || now - *entry.draining_since >= limit);
  }
  /** @returns true during the backoff after a failure */
  bool IsBackedOff(TimePoint now) const { return now < backoff_until_; }
  /** Records whether the endpoint was fresh enough for a read.

      @param behind  true if it had not applied the required log point
  */
  void RecordFreshness(bool behind);
  /** @returns true if several consecutive reads found the endpoint behind */
  bool HasPersistentLag() const;
  /** @returns true if the endpoint had recently not applied a log point. How
               long that information counts grows with the number of
               consecutive reads that found the endpoint behind.

      @param point  the log point that a read requires
      @param now    the current time
  */
  bool IsBehind(const LogPoint& point, TimePoint now) const;
  /** @returns true if another connection may be opened now

      @param share  number of connections that this VM may have
      @param now    the current time
  */
  bool CanOpenConnection(uint32_t share, TimePoint now) const;
  /** @returns the time at which the next connection may be opened */
  TimePoint GetNextOpenTime() const { return open_backoff_until_; }
  /** @returns the estimated time to completion of a statement that is queued
               now: the mean time to a reply, which includes waiting at the
               endpoint, scaled by the statements ahead of it here */
  Duration EstimateLatency() const;
  /** Returns the idle timeout of a connection while VMs outnumber the
      endpoint's connections: the mean time between two uses, multiplied by the
      connections per VM. All VMs together then hold no more connections than
      the endpoint has, whatever the rate of each VM.

      @param connections_per_vm  connections available to each VM, below 1
  */
  Duration GetScaledIdleTimeout(double connections_per_vm) const;
  /** @returns the number of statements of this VM that may run at the endpoint
               at a time */
  uint32_t GetConcurrencyLimit() const {
    return static_cast<uint32_t>(concurrency_limit_);
  }
  /** Sets the concurrency limit to its initial value if the number of VMs that
      send statements to the endpoint has changed.

      @param sharers  number of VMs that share the endpoint
  */
  void SetSharers(uint32_t sharers);
  /** Sets the concurrency limit to its initial value. */
  void ResetConcurrencyLimit();
  /** @returns true if this VM forwards statements to holders of the endpoint's
               connections */
  bool IsForwarding() const {
    return holders && !holders->held_here && !holders->peers.empty();
  }
  /** @returns true if this VM holds connections for the VMs that forward */
  bool IsHeldHere() const { return holders && holders->held_here; }
  /** @param vm  another VM
      @returns   true if statements may be forwarded to it */
  bool IsListedHolder(const VmId& vm) const;

  /** The endpoint, as the directory lists it. */
  EndpointEntry entry;
  Distance distance;
  /** Holders of the endpoint's connections; none unless VMs outnumber them. */
  std::optional<EndpointHolders> holders;
  /** True if the directory no longer lists the endpoint; its connections are
      closed when they become idle. */
  bool removed = false;
  std::vector<uint64_t> connections;
  std::deque<QueuedStatement> queue;
  /** True once a statement of a team has been queued: connections may belong to
      teams, also after the configuration names none any more. */
  bool serves_teams = false;
  /** Time at which the only connection of a team was closed for another one. */
  TimePoint rotated_at;
  /** Number of running statements, including abandoned ones. */
  uint32_t running = 0;
  TimePoint last_activity;
  /** What callers' statements have shown, for the placement of reads. */
  EndpointRecord record;
  /** True if a timer for closing idle connections is set. */
  bool idle_check_scheduled = false;
  /** Number of failures since the last message from the endpoint. */
  uint32_t failures = 0;

 private:
  TimePoint backoff_until_;
  LogPoint applied_;
  TimePoint applied_at_;
  // Number of consecutive reads that found the endpoint behind.
  uint32_t behind_streak_ = 0;
  TimePoint open_backoff_until_;
  TimePoint connection_refused_at_;
  // Number of refused connections since a connection was last used.
  uint32_t open_refusal_count_ = 0;
  Duration mean_run_time_;
  TimePoint last_used_at_;
  Duration mean_interval_;
  uint32_t sharers_ = 1;
  // Grows while statements are queued and the endpoint accepts them; decreases
  // when it refuses a statement as busy.
  double concurrency_limit_ = 1;
  TimePoint limit_decreased_at_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CONNECTIONS_ENDPOINT_POOL_H_
