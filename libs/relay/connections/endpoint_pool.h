#ifndef MAGNOLIAREEL_RELAY_CONNECTIONS_ENDPOINT_POOL_H_
#define MAGNOLIAREEL_RELAY_CONNECTIONS_ENDPOINT_POOL_H_

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** First pause after an endpoint took no further connection: others end within
   a few statements, as VMs shrink to their share. */
inline constexpr Duration kOpenBackoff = std::chrono::milliseconds(60);

/** A statement that waits for an endpoint. */
struct QueuedStatement {
  uint64_t session = 0;
  uint64_t statement_id = 0;
  int priority = 0;
  TimePoint deadline;
};

/** What this VM knows of one endpoint and holds for it: connections, waiting
    statements, and how it has answered lately.

    @see PooledConnection, TrafficCore
*/
class EndpointPool {
 public:
  /** @param entry     the endpoint
      @param distance  from this VM
  */
  EndpointPool(EndpointEntry entry, Distance distance);

  /** Adds a statement behind those of its priority that end earlier. */
  void Enqueue(const QueuedStatement& statement);
  /** Removes a statement that no longer waits.

      @param ticket  the statement
  */
  void Remove(uint64_t statement_id);

  /** Notes that a statement was answered.

      @param run_time  from sending to the answer
      @param now       the present moment
  */
  void RecordReply(Duration run_time, TimePoint now);
  /** Notes any sign of life. */
  void RecordActivity(TimePoint now);
  /** Notes that a statement found all slots and the endpoint's queue taken.

      @param now  the present moment
  */
  void RecordBusy(TimePoint now);
  /** Notes that a connection could not be opened or fell silent; the endpoint
      is left alone for a time that doubles with every failure.

      @param now  the present moment
  */
  void RecordFailure(TimePoint now);
  /** Notes that the endpoint takes no further connection from this VM.

      @param now  the present moment
  */
  void RecordConnectionRefused(TimePoint now);
  /** Notes that a connection gets work.

      @param now  the present moment
  */
  void RecordUse(TimePoint now);
  /** @returns true if it took no further connection from this VM a moment ago

      @param now  the present moment
  */
  bool IsAtConnectionLimit(TimePoint now) const;
  /** Notes how far the endpoint has applied its log.

      @param applied  the end of the applied log
      @param now      the present moment
  */
  void RecordAppliedPoint(LogPoint applied, TimePoint now);

  /** @returns true while the endpoint should get no new work */
  bool IsBackedOff(TimePoint now) const { return now < backoff_until_; }
  /** Notes that a read found it behind, or not.

      @param behind  it lacked the log point that was demanded
  */
  void RecordFreshness(bool behind);
  /** @returns true if reads have found it behind several times in a row */
  bool HasPersistentLag() const;
  /** @returns true if it lacked a log point a moment ago; the moment is the
      longer the more reads in a row have found it behind

      @param point  what a read demands
      @param now    the present moment
  */
  bool IsBehind(const LogPoint& point, TimePoint now) const;
  /** @returns true if a further connection may be opened

      @param share  connections that this VM may have
      @param now    the present moment
  */
  bool CanOpenConnection(uint32_t share, TimePoint now) const;
  /** @returns when a further connection may be tried */
  TimePoint GetNextOpenTime() const { return open_backoff_until_; }
  /** @returns how long a statement added now would take: what answers took
      lately, waiting at the endpoint included, times the turns that it waits
      here */
  Duration EstimateLatency() const;
  /** How long a connection may rest where VMs outnumber connections: this part
      of the usual time between two uses, so that all VMs together hold no more
      than there are, whatever the rate of each.

      @param part  connections for each VM, below 1
  */
  Duration GetScaledIdleTimeout(double part) const;
  /** @returns statements that may run at a time from this VM */
  uint32_t GetConcurrencyLimit() const {
    return static_cast<uint32_t>(concurrency_limit_);
  }
  /** Starts the limit anew.

      @param live_vms  VMs that share the endpoint
  */
  void ResetConcurrencyLimit(uint32_t live_vms);

  /** The endpoint, as the directory lists it. */
  EndpointEntry entry;
  Distance distance;
  /** The directory lists it no more; connections end with their work. */
  bool removed = false;
  std::vector<uint64_t> connections;
  std::deque<QueuedStatement> queue;
  /** Number of statements that run, abandoned ones included. */
  uint32_t running = 0;
  TimePoint last_activity;
  /** Somebody looks for connections that are not used any more. */
  bool idle_check_scheduled = false;
  /** Number of failures since the last sign of life. */
  uint32_t failures = 0;

 private:
  TimePoint backoff_until_;
  LogPoint applied_;
  TimePoint applied_at_;
  // Reads in a row that found it behind.
  uint32_t behind_streak_ = 0;
  TimePoint open_backoff_until_;
  TimePoint connection_refused_at_;
  // Since the last use of a connection.
  uint32_t open_refusal_count_ = 0;
  Duration mean_run_time_;
  TimePoint last_used_at_;
  Duration mean_interval_;
  // Grows while statements wait here and the endpoint takes what it is given;
  // shrinks when it refuses.
  double concurrency_limit_ = 1;
  TimePoint limit_decreased_at_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CONNECTIONS_ENDPOINT_POOL_H_
