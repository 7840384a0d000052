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
#include "relay/core/log_budget.h"
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
  void AnnouncePrimary(const ServiceId& service, const EndpointId& endpoint);
  /** Tells another VM a freshness bound, now or with the next one.

      @param question  the other VM's
      @param answer    called once, or never if no bound comes
  */
  void AnswerBound(const BoundQuestion& question,
                   std::function<void(const PeerBound&)> answer);
  /** Takes up a bound that another VM told.

      @param bound     what it told
      @param asked_at  when this VM sent the question
  */
  void TakeBound(const PeerBound& bound, TimePoint asked_at);
  /** Asks a service's primary for a bound. */
  void AskPrimary(const ServiceId& service);
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
  void RejectCaller(uint64_t id, Refusal refusal, std::string_view reason);
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
  enum class Reminder {
    kDeadline,
    kSlow,
    kRetry,
    kConnect,
    kAbandoned,
    kSettling,
    kUnused,
    kTransactionIdle,
    kPool,
    kLeaders,
    kBound,
    kDrain,
  };
  struct Due {
    TimePoint at;
    Reminder reminder = Reminder::kDeadline;
    /** Session, connection or pool. */
    uint64_t subject = 0;
    /** Statement, or 0. */
    uint64_t ticket = 0;
    EndpointId endpoint;
    bool operator>(const Due& other) const { return at > other.at; }
  };

  // traffic_core_sessions.h: what callers say.
  void OpenDatabase(CallerSession& session, const CallerMessage& message);
  void AcceptSession(CallerSession& session);
  void HandleStatement(CallerSession& session, const CallerMessage& message);
  void HandleBegin(CallerSession& session, bool reads_only);
  void HandleRollback(CallerSession& session);
  void HandlePrepare(CallerSession& session, const StatementText& statement);
  void HandleDeallocate(CallerSession& session, std::string_view name);
  void HandleWork(CallerSession& session, const CallerMessage& message);
  bool RefreshRoute(CallerSession& session);
  void AnswerLocally(CallerSession& session);
  void AnswerError(CallerSession& session,
                   Refusal refusal,
                   std::string_view reason);
  ConnectionStatus GetCallerStatus(const CallerSession& session) const;
  void RunBacklog(uint64_t id);
  void EndSession(CallerSession& session);

  // traffic_core_dispatch.h: where statements go.
  void Dispatch(CallerSession& session);
  void DispatchToLeader(CallerSession& session);
  void DispatchRead(CallerSession& session);
  EndpointPool* ChooseReadPool(const CallerSession& session,
                               const ServiceState& service);
  void EnqueueAt(EndpointPool& pool, CallerSession& session);
  void RetryLater(CallerSession& session, Duration pause);
  void LeaveQueues(CallerSession& session);
  void StartQueued(EndpointPool& pool);
  void OpenConnections(EndpointPool& pool);
  void OpenConnection(EndpointPool& pool);
  PooledConnection* PickIdle(EndpointPool& pool, const CallerSession& session);
  void Start(PooledConnection& connection, CallerSession& session);
  void SendStatement(PooledConnection& connection, CallerSession& session);
  void SendWithin(CallerSession& session);
  void LeaderChanged(ServiceState& service);

  // traffic_core_bounds.h: how freshness bounds are come by.
  void RefreshBounds(ServiceState& service, Duration most_age);
  void AnswerPeers(const ServiceId& id, ServiceState& service);
  void ReleaseAwaiting(ServiceState& service);

  // traffic_core_connections.h: connections between statements.
  void Expect(PooledConnection& connection,
              Exchange exchange,
              uint64_t ticket = 0);
  void LeaveTransaction(PooledConnection& connection);
  void BeginAhead(PooledConnection& connection);
  void SyncValues(PooledConnection& connection, const SessionValues& values);
  void AddValues(PooledConnection& connection, const SessionValues& values);
  void Settle(PooledConnection& connection);
  void WatchSettling(PooledConnection& connection);
  void BecomeIdle(PooledConnection& connection);
  void Abandon(uint64_t connection_id);
  void DropConnection(uint64_t connection_id);
  void LoseConnection(uint64_t connection_id, std::string_view reason);
  void RetirePool(EndpointPool& pool);
  void NotePoolFailure(EndpointPool& pool, EndpointCondition condition);
  void MoveReads(EndpointPool& pool);
  void NoteNotLeading(EndpointPool& pool);
  void NoteFreshness(EndpointPool& pool, std::optional<Refusal> refusal);
  void NoteProven(EndpointPool& pool, TimePoint asked_at, LogPoint point);

  // traffic_core_shares.h: how many connections, and for how long.
  double GetPart(const EndpointPool& pool) const;
  uint32_t GetShare(const EndpointPool& pool) const;
  uint32_t GetMost(const EndpointPool& pool) const;
  Duration GetUnusedLimit(const EndpointPool& pool) const;
  void ShrinkPool(EndpointPool& pool);
  void EndUnused(EndpointPool& pool);

  // traffic_core_replies.h, traffic_core_refusals.h: what endpoints answer.
  void HandleAnswer(PooledConnection& connection, const EndpointMessage& ready);
  void HandleOpenAnswer(PooledConnection& connection,
                        const ExpectedAnswer& answer);
  void Advance(PooledConnection& connection);
  void HandleBeginRefused(PooledConnection& connection);
  void HandleStatementAnswer(PooledConnection& connection,
                             const ExpectedAnswer& answer,
                             const EndpointMessage& ready);
  void HandleSuccess(PooledConnection& connection,
                     CallerSession& session,
                     const EndpointMessage& ready);
  void HandleRefusal(PooledConnection& connection,
                     CallerSession& session,
                     Refusal refusal);
  void HandleRefusalWithin(PooledConnection& connection,
                           CallerSession& session,
                           Refusal refusal);
  void Observe(const CallerSession& session, Outcome outcome);
  void FinishWork(CallerSession& session);
  void FailWork(CallerSession& session,
                Refusal refusal,
                std::string_view reason);
  void RetryElsewhere(CallerSession& session,
                      const EndpointId& failed,
                      Refusal refusal,
                      Duration pause);

  // traffic_core_timers.h: what is due.
  void Remind(Due due);
  void HandleDue(const Due& due);
  bool IsPast(const Due& due);
  void DropUnused(const PooledConnection& connection);
  void HandleDeadline(CallerSession& session);
  void HandleSlow(CallerSession& session);
  void HandleIdleTransaction(CallerSession& session);
  void HandleLeaderReview();
  void HandleDrain();
  void RenewBegun();

  CallerSession* FindSession(uint64_t id);
  PooledConnection* FindConnection(uint64_t id);
  EndpointPool* FindPool(const EndpointId& id);
  EndpointPool* FindLeaderPool(const ServiceState& service);
  ServiceState& GetService(const ServiceId& id) { return services_[id]; }
  bool NeedsLeader(Need need) const {
    return need == Need::kProvenRead || need == Need::kWrite ||
           need == Need::kPlainTransaction;
  }
  bool IsLeader(const EndpointPool& pool);
  bool IsStillWaiting(uint64_t session, uint64_t ticket);

  N& net_;
  const TrafficOptions options_;
  std::shared_ptr<const FleetView> view_ = std::make_shared<FleetView>();
  std::unordered_map<uint64_t, CallerSession> sessions_;
  std::unordered_map<uint64_t, PooledConnection> connections_;
  std::map<EndpointId, EndpointPool> pools_;
  std::map<ServiceId, ServiceState> services_;
  /** Sessions that wait for the first configuration. */
  std::vector<uint64_t> unopened_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  uint64_t next_id_ = 1;
  /** The process stops; sessions end after their present statement. */
  bool ends_at_rest_ = false;
  TimePoint drain_began_at_;
  Duration transaction_grace_{};
  Duration statement_grace_{};
  LogBudget served_lines_;
  TrafficCounters counters_;
};

}  // namespace magnoliareel

// The methods, by topic.
#include "relay/core/traffic_core_bounds.h"       // IWYU pragma: export
#include "relay/core/traffic_core_connections.h"  // IWYU pragma: export
#include "relay/core/traffic_core_control.h"      // IWYU pragma: export
#include "relay/core/traffic_core_dispatch.h"     // IWYU pragma: export
#include "relay/core/traffic_core_reads.h"        // IWYU pragma: export
#include "relay/core/traffic_core_refusals.h"     // IWYU pragma: export
#include "relay/core/traffic_core_replies.h"      // IWYU pragma: export
#include "relay/core/traffic_core_sessions.h"     // IWYU pragma: export
#include "relay/core/traffic_core_shares.h"       // IWYU pragma: export
#include "relay/core/traffic_core_timers.h"       // IWYU pragma: export

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_H_
