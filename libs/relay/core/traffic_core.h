#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "directory/directory.h"
#include "relay/connections/endpoint_pool.h"
#include "relay/connections/pooled_connection.h"
#include "relay/core/log_rate_limiter.h"
#include "relay/core/service_state.h"
#include "relay/core/traffic_net.h"
#include "relay/core/traffic_options.h"
#include "relay/messages/wire_dialect.h"
#include "relay/sessions/caller_session.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** Serves callers' sessions on pooled connections to endpoints.

    All methods run on the traffic thread. Nothing here waits: every event is
    handled at once, and what has to happen later is asked for by Wake().

    @tparam D  @see WireDialect
    @tparam N  @see TrafficNet
*/
template <WireDialect D, class N>
class TrafficCore {
 public:
  /** @param net      outlives the core
      @param options  where this VM is, and limits
  */
  TrafficCore(N& net, TrafficOptions options);
  TrafficCore(const TrafficCore&) = delete;
  TrafficCore& operator=(const TrafficCore&) = delete;

  /** Takes up a new view of routes and endpoints. */
  void Apply(std::shared_ptr<const FleetView> view);
  /** Takes up that an endpoint was promoted.

      @param service   its service
      @param endpoint  the endpoint that takes over
  */
  void AnnounceLeader(const ServiceId& service, const EndpointId& endpoint);
  /** Tells another VM a freshness bound, now or with the next one.

      @param question  the other VM's
      @param answer    called once, or never if no bound comes
  */
  void HandleBoundQuery(const FreshnessBoundQuery& question,
                        std::function<void(const FreshnessBound&)> reply);
  /** Takes up a bound that another VM told.

      @param bound     what it told
      @param asked_at  when this VM sent the question
  */
  void RecordPeerBound(const FreshnessBound& bound, TimePoint requested_at);
  /** Asks a service's primary for a bound. */
  void RequestPrimaryBound(const ServiceId& service);
  /** Ends sessions one by one as they come to rest.

      @param transaction_grace  time that open transactions have
      @param statement_grace    time after which statements are not waited for
                                any more: each gets the answer that is true of
                                it at that moment
  */
  void BeginDrain(Duration transaction_grace, Duration statement_grace);
  /** @returns number of callers' sessions */
  size_t CountSessions() const { return sessions_.size(); }

  /** A caller has connected. */
  void OpenSession(uint64_t id);
  /** A caller has sent a message.

      @param id     the session
      @param frame  one whole message
  */
  void HandleCallerFrame(uint64_t id, std::string_view frame);
  /** A caller has sent something that can be no message. */
  void RejectCaller(uint64_t id, StatementError error, std::string_view reason);
  /** A caller's connection is gone. */
  void CloseSession(uint64_t id);

  /** A connection was established. */
  void HandleEndpointOpened(uint64_t id);
  /** An endpoint has sent a message.

      @param id     the connection
      @param frame  one whole message
  */
  void HandleEndpointFrame(uint64_t id, std::string_view frame);
  /** A connection failed or ended. */
  void HandleEndpointClosed(uint64_t id, std::error_code ec);

  /** Does what is due. */
  void HandleWake();

  /** @returns every endpoint with what this VM holds for it */
  const std::map<EndpointId, EndpointPool>& GetPools() const { return pools_; }
  /** @returns what was retried, sent twice and opened so far */
  const TrafficCounters& GetCounters() const { return counters_; }

 private:
  enum class TimerKind {
    kStatementDeadline,
    kSlowStatement,
    kStatementRetry,
    kConnectTimeout,
    kAbandonedTimeout,
    kReturnTimeout,
    kIdleCheck,
    kTransactionIdle,
    kPoolRetry,
    kPrimaryReview,
    kPeerBoundTimeout,
    kDrain,
  };
  struct Timer {
    TimePoint at;
    TimerKind kind = TimerKind::kStatementDeadline;
    /** Session, connection or pool. */
    uint64_t subject = 0;
    /** Statement, or 0. */
    uint64_t statement_id = 0;
    EndpointId endpoint;
    bool operator>(const Timer& other) const { return at > other.at; }
  };

  // traffic_core_sessions.h: what callers say.
  void OpenDatabase(CallerSession& session, const CallerMessage& message);
  void AcceptSession(CallerSession& session);
  void HandleStatement(CallerSession& session, const CallerMessage& message);
  void HandleBegin(CallerSession& session, bool reads_only);
  void HandleRollback(CallerSession& session);
  void HandlePrepare(CallerSession& session, const ParsedStatement& statement);
  void HandleDeallocate(CallerSession& session, std::string_view name);
  void SubmitStatement(CallerSession& session, const CallerMessage& message);
  bool RefreshRoute(CallerSession& session);
  void ReplyLocally(CallerSession& session);
  void ReplyError(CallerSession& session,
                  StatementError error,
                  std::string_view reason);
  TransactionStatus GetCallerStatus(const CallerSession& session) const;
  void RunBacklog(uint64_t id);
  void EndSession(CallerSession& session);

  // traffic_core_dispatch.h: where statements go.
  void Dispatch(CallerSession& session);
  void DispatchToPrimary(CallerSession& session);
  void DispatchRead(CallerSession& session);
  EndpointPool* ChooseReadPool(const CallerSession& session,
                               const ServiceState& service);
  void EnqueueAt(EndpointPool& pool, CallerSession& session);
  void ScheduleRetry(CallerSession& session, Duration pause);
  void RemoveFromQueues(CallerSession& session);
  void StartQueued(EndpointPool& pool);
  void OpenConnections(EndpointPool& pool);
  void OpenConnection(EndpointPool& pool);
  PooledConnection* PickIdleConnection(EndpointPool& pool,
                                       const CallerSession& session);
  void StartStatement(PooledConnection& connection, CallerSession& session);
  void SendStatement(PooledConnection& connection, CallerSession& session);
  void SendInTransaction(CallerSession& session);
  void HandlePrimaryChange(ServiceState& service);

  // traffic_core_bounds.h: how freshness bounds are come by.
  void RefreshBounds(ServiceState& service, Duration max_bound_age);
  void ReplyToBoundQueries(const ServiceId& id, ServiceState& service);
  void DispatchReadsAwaitingBound(ServiceState& service);

  // traffic_core_connections.h: connections between statements.
  void ExpectReply(PooledConnection& connection,
                   EndpointRequestKind request,
                   uint64_t statement_id = 0);
  void RollBackOpenTransaction(PooledConnection& connection);
  void BeginReadWriteTransaction(PooledConnection& connection);
  void SyncValues(PooledConnection& connection, const SessionValues& values);
  void AddValues(PooledConnection& connection, const SessionValues& values);
  void ReturnToPool(PooledConnection& connection);
  void ScheduleReturnTimeout(PooledConnection& connection);
  void MarkIdle(PooledConnection& connection);
  void Abandon(uint64_t connection_id);
  void CloseEndpointConnection(uint64_t connection_id);
  void HandleConnectionLoss(uint64_t connection_id, std::string_view reason);
  void RetirePool(EndpointPool& pool);
  void HandleEndpointFailure(EndpointPool& pool, EndpointCondition condition);
  void RerouteReads(EndpointPool& pool);
  void HandleNotPrimary(EndpointPool& pool);
  void RecordFreshness(EndpointPool& pool, std::optional<StatementError> error);
  void HandlePrimaryConfirmed(EndpointPool& pool,
                              TimePoint requested_at,
                              LogPoint point);

  // traffic_core_shares.h: how many connections, and for how long.
  double GetConnectionsPerVm(const EndpointPool& pool) const;
  uint32_t GetConnectionShare(const EndpointPool& pool) const;
  uint32_t GetMaxConnections(const EndpointPool& pool) const;
  Duration GetIdleTimeout(const EndpointPool& pool) const;
  void ShrinkPool(EndpointPool& pool);
  void CloseIdleConnections(EndpointPool& pool);

  // traffic_core_replies.h, traffic_core_refusals.h: what endpoints answer.
  void HandleReply(PooledConnection& connection, const EndpointMessage& ready);
  void HandleOpenError(PooledConnection& connection, const PendingReply& reply);
  void Advance(PooledConnection& connection);
  void HandleBeginError(PooledConnection& connection);
  void HandleStatementReply(PooledConnection& connection,
                            const PendingReply& reply,
                            const EndpointMessage& ready);
  void HandleSuccess(PooledConnection& connection,
                     CallerSession& session,
                     const EndpointMessage& ready);
  void HandleStatementError(PooledConnection& connection,
                            CallerSession& session,
                            StatementError error);
  void HandleErrorInTransaction(PooledConnection& connection,
                                CallerSession& session,
                                StatementError error);
  void Observe(const CallerSession& session, Outcome outcome);
  void FinishStatement(CallerSession& session);
  void FailStatement(CallerSession& session,
                     StatementError error,
                     std::string_view reason);
  void RetryElsewhere(CallerSession& session,
                      const EndpointId& failed,
                      StatementError error,
                      Duration pause);

  // traffic_core_timers.h: what is due.
  void ScheduleTimer(Timer timer);
  void HandleTimer(const Timer& timer);
  bool IsObsolete(const Timer& timer);
  void CloseAndStartQueued(const PooledConnection& connection);
  void HandleDeadline(CallerSession& session);
  void HandleSlow(CallerSession& session);
  void HandleIdleTransaction(CallerSession& session);
  void ReviewPrimaries();
  void HandleDrain();
  void RenewUnusedTransactions();

  CallerSession* FindSession(uint64_t id);
  PooledConnection* FindConnection(uint64_t id);
  EndpointPool* FindPool(const EndpointId& id);
  EndpointPool* FindPrimaryPool(const ServiceState& service);
  ServiceState& GetService(const ServiceId& id) { return services_[id]; }
  bool RequiresPrimary(EndpointRequirement requirement) const {
    return requirement == EndpointRequirement::kPrimaryRead ||
           requirement == EndpointRequirement::kWrite ||
           requirement == EndpointRequirement::kReadWriteTransaction;
  }
  bool IsPrimary(const EndpointPool& pool);
  bool IsInProgress(uint64_t session, uint64_t statement_id);

  N& net_;
  const TrafficOptions options_;
  std::shared_ptr<const FleetView> view_ = std::make_shared<FleetView>();
  std::unordered_map<uint64_t, CallerSession> sessions_;
  std::unordered_map<uint64_t, PooledConnection> connections_;
  std::map<EndpointId, EndpointPool> pools_;
  std::map<ServiceId, ServiceState> services_;
  /** Sessions that wait for the first configuration. */
  std::vector<uint64_t> sessions_awaiting_config_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  uint64_t next_id_ = 1;
  /** The process stops; sessions end after their present statement. */
  bool close_idle_sessions_ = false;
  TimePoint drain_began_at_;
  Duration transaction_grace_{};
  Duration statement_grace_{};
  LogRateLimiter served_log_limiter_;
  TrafficCounters counters_;
};

}  // namespace magnoliareel

// The methods, by topic.
#include "relay/core/traffic_core_bounds.h"       // IWYU pragma: export
#include "relay/core/traffic_core_connections.h"  // IWYU pragma: export
#include "relay/core/traffic_core_control.h"      // IWYU pragma: export
#include "relay/core/traffic_core_dispatch.h"     // IWYU pragma: export
#include "relay/core/traffic_core_errors.h"       // IWYU pragma: export
#include "relay/core/traffic_core_pool_sizes.h"   // IWYU pragma: export
#include "relay/core/traffic_core_reads.h"        // IWYU pragma: export
#include "relay/core/traffic_core_replies.h"      // IWYU pragma: export
#include "relay/core/traffic_core_sessions.h"     // IWYU pragma: export
#include "relay/core/traffic_core_timers.h"       // IWYU pragma: export

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_H_
