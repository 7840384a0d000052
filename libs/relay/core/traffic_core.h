#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "allowance/allowance.h"
#include "core/core.h"
#include "directory/directory.h"
#include "placement/placement.h"
#include "relay/connections/endpoint_pool.h"
#include "relay/connections/pooled_connection.h"
#include "relay/connections/team_rank.h"
#include "relay/core/drain_periods.h"
#include "relay/core/hedge_budget.h"
#include "relay/core/log_rate_limiter.h"
#include "relay/core/service_state.h"
#include "relay/core/traffic_net.h"
#include "relay/core/traffic_options.h"
#include "relay/core/traffic_timer.h"
#include "relay/messages/forwarding_dialect.h"
#include "relay/sessions/caller_session.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** Serves callers' sessions on pooled connections to endpoints.

    All methods run on the traffic thread and never block: each event is handled
    immediately, and later actions are scheduled through TrafficNet::Wake().

    @tparam D  @see ForwardingDialect
    @tparam N  @see TrafficNet
*/
template <ForwardingDialect D, class N>
class TrafficCore {
 public:
  /** @param net      outlives the core
      @param options  name and location of this VM
  */
  TrafficCore(N& net, TrafficOptions options);
  TrafficCore(const TrafficCore&) = delete;
  TrafficCore& operator=(const TrafficCore&) = delete;

  /** Applies a new view of routes and endpoints. */
  void Apply(std::shared_ptr<const FleetView> view);
  /** Records that an endpoint is being promoted.

      @param service   service of the endpoint
      @param endpoint  the endpoint that becomes primary
  */
  void AnnouncePrimary(const ServiceId& service, const EndpointId& endpoint);
  /** Sends no write and no commit to an endpoint of the service other than the
      successor, for kCommitHoldPeriod or until the successor proves a term that
      is newer than all before.

      @param service    service whose primary is being replaced
      @param successor  the endpoint that becomes primary; empty while none is
                        chosen
  */
  void HoldCommits(const ServiceId& service, const EndpointId& successor);
  /** Ends the effect of HoldCommits(), because the replacement was given up. */
  void ReleaseCommits(const ServiceId& service);
  /** @param endpoint  any endpoint
      @returns         whether a connection to it that it has accepted is open;
                       those through other VMs don't count */
  bool HasOpenConnection(const EndpointId& endpoint) const;
  /** Returns how far a new primary's log must reach to hold every commit that
      this VM has answered, as far as that is certain.

      @param service  any service
      @returns        lowest point that the newest commit can have which was
                      answered with success; none if it is not known
      @see CommitLossDetector */
  std::optional<LogPoint> FindAnsweredCommit(const ServiceId& service) const;
  /** Replies to another VM's query for a freshness bound, immediately or when
      the next bound is known.

      @param query  the other VM's query
      @param reply  called once, or never if no bound becomes known
  */
  void HandleBoundQuery(const FreshnessBoundQuery& query,
                        std::function<void(const FreshnessBound&)> reply);
  /** Records a bound that another VM sent.

      @param bound         the bound
      @param requested_at  time at which this VM sent the query
  */
  void RecordPeerBound(const FreshnessBound& bound, TimePoint requested_at);
  /** Requests a freshness bound from a service's primary. */
  void RequestPrimaryBound(const ServiceId& service);
  /** Applies an assignment of the slots that issue permits.
      @see AllowanceBook::ApplySlots */
  void ApplySlots(const SlotAssignment* assignment, TimePoint valid_until);
  /** Replaces the VMs that can be asked for permits. */
  void ApplyLenders(std::span<const PermitLender> lenders);
  /** Handles another VM's request for permits.

      @returns the answer */
  PermitGrant HandlePermitRequest(const PermitRequest& request);
  /** Handles another VM's answer to a request for permits. */
  void HandlePermitGrant(const VmId& from, const PermitGrant& grant);
  /** @see AllowanceDelegate */
  void SendPermitRequest(const VmId& to, const PermitRequest& request) {
    net_.SendPermitRequest(to, request);
  }
  /** @see AllowanceDelegate */
  void OnPermitGranted(uint64_t operation, TimePoint expires_at);
  /** @see AllowanceDelegate */
  void OnPermitRefused(uint64_t operation);
  /** @see AllowanceDelegate */
  void WakeForPermits(TimePoint at);

  /** Starts to close sessions gradually: at rest, and behind answers.

      @param periods  how long statements and transactions may continue
  */
  void BeginDrain(const DrainPeriods& periods);
  /** Ends the sessions that a drain closes behind their answers. Call it at the
      end of each event, when all messages that were received are handled and
      before the answers are sent. */
  void FinishEvent();
  /** @returns the number of callers' sessions; during a drain, also the
               sessions of other VMs in which a statement or a transaction is
               in progress */
  size_t CountSessions() const;

  /** Handles a new connection of a caller. */
  void OpenSession(uint64_t id);
  /** Handles a message from a caller.

      @param id     the session
      @param frame  one whole message
  */
  void HandleCallerFrame(uint64_t id, std::string_view frame);
  /** Rejects bytes from a caller that cannot be a valid message. */
  void RejectCaller(uint64_t id, StatementError error, std::string_view reason);
  /** Handles the end of a caller's connection. */
  void CloseSession(uint64_t id);

  /** Handles a new connection of another VM that forwards statements. It is
      answered and closed like a caller's. */
  void OpenForwardedSession(uint64_t id);
  /** Handles a message from another VM.

      @param id     the session
      @param frame  one whole message
  */
  void HandleForwardedFrame(uint64_t id, std::string_view frame);

  /** Handles an established connection to an endpoint or holder. */
  void HandleEndpointOpened(uint64_t id);
  /** Handles a message from an endpoint or holder.

      @param id     the connection
      @param frame  one whole message
  */
  void HandleEndpointFrame(uint64_t id, std::string_view frame);
  /** Handles a failed or closed connection to an endpoint. */
  void HandleEndpointClosed(uint64_t id, std::error_code ec);

  /** Runs the timers that have expired. */
  void HandleWake();

  /** @returns the connection pools by endpoint */
  const std::map<EndpointId, EndpointPool>& GetPools() const { return pools_; }
  /** @returns the state of the services */
  const std::map<ServiceId, ServiceState>& GetServices() const {
    return services_;
  }
  /** @returns names of prepared statements on all connections, and the length
               of their shapes in bytes */
  PreparedTotals CountPrepared() const;
  /** @returns the counters of retries, hedged reads and opened connections */
  const TrafficCounters& GetCounters() const { return counters_; }
  /** @returns the counters of permits */
  const AllowanceCounters& GetAllowanceCounters() const {
    return allowances_.GetCounters();
  }
  /** @returns the number of slots from which this VM issues permits */
  size_t CountOwnSlots() const { return allowances_.CountOwnSlots(); }
  /** @returns true while a statement of a session is in progress */
  bool IsBusy(uint64_t session) const;
  /** @returns length of the messages that wait behind it, in bytes */
  size_t GetBacklogBytes(uint64_t session) const;
  /** @returns what values and prepared statements of all sessions count */
  const HeldBytes& GetHeldText() const { return held_text_; }
  /** @returns what the texts of all long statements in progress count */
  const HeldBytes& GetStatementText() const { return statement_text_; }

 private:
  /** What is known of a VM to which statements are forwarded. */
  struct HolderState {
    TimePoint heard_at;
    /** It gets no statements until then. */
    TimePoint backoff_until;
    /** Number of failures since it was last heard. */
    uint32_t failures = 0;
  };

  // traffic_core_forwarding.h: statements that VMs forward to each other.
  void AcceptForwardedSession(CallerSession& session,
                              const ForwardedMessage& message);
  void SubmitForwarded(CallerSession& session,
                       const ForwardingHeader& header,
                       const CallerMessage& message);
  void DispatchForwarded(CallerSession& session);
  void RetryForwarded(CallerSession& session,
                      StatementError error,
                      Duration delay);
  const EndpointHolder* ChooseHolder(const EndpointPool& pool,
                                     const TeamId& team) const;
  bool IsHolderBackedOff(const VmId& vm) const;
  void RecordHolderActivity(const VmId& vm);
  void RecordHolderFailure(const VmId& vm, std::string_view reason);
  void CloseUnlistedHolders(EndpointPool& pool);
  void AppendForwardingHeader(PooledConnection& connection,
                              const CallerSession& session);
  /** Asks the holder of a slow statement for a sign of life.

      @returns false if it did not give one */
  bool CheckHolder(PooledConnection& connection, ActiveStatement& statement);

  // traffic_core_sessions.h: messages from callers.
  void OpenDatabase(CallerSession& session, const CallerMessage& message);
  void AcceptSession(CallerSession& session);
  void HandleStatement(CallerSession& session, const CallerMessage& message);
  void HandleBegin(CallerSession& session, bool reads_only);
  void HandleRollback(CallerSession& session);
  void HandleSetValue(CallerSession& session, const ParsedStatement& statement);
  void HandlePrepare(CallerSession& session, const ParsedStatement& statement);
  /** Makes room for a text that a session is to hold, or tells the caller that
      there is none.

      @param freed   length of the text that it replaces
      @param needed  its length
      @returns       false if there is none
  */
  bool ReserveText(CallerSession& session, size_t freed, size_t needed);
  /** @param text_bytes  length of the texts in a message
      @param append      appends the encoded message to a string
      @returns           whether a peer accepts the message */
  template <class F>
  static bool FitsMessage(size_t text_bytes, F append);
  /** @returns whether a read leaves room for a log point that the endpoint must
               have applied */
  static bool FitsBehindLogPoint(const ActiveStatement& statement);
  void HandleDeallocate(CallerSession& session, std::string_view name);
  void SubmitStatement(CallerSession& session, const CallerMessage& message);
  bool RefreshRoute(CallerSession& session);
  /** Finds the team that has the session's key now.

      @returns false if the caller may not use the session's route; the session
               has ended then
  */
  bool RefreshTeam(CallerSession& session);
  /** @returns whether the session's key is valid, or none is needed */
  bool IsAuthorized(const CallerSession& session) const;
  /** Refuses the statement in progress, if any, and ends the session. */
  void EndUnauthorized(CallerSession& session);
  /** Finds the teams of the sessions that wait for an endpoint, and ends those
      whose keys the configuration in force does not hold. */
  void RefreshTeams();
  /** Does so for a session whose statement was not sent to an endpoint. */
  void RefreshWaiting(CallerSession& session);
  /** @returns whether a statement that has not been sent yet may be sent on a
               connection that was chosen under another configuration */
  bool MayUse(const PooledConnection& connection,
              const CallerSession& session) const;
  bool ParseStatement(CallerSession& session,
                      const CallerMessage& message,
                      ActiveStatement& out);
  void AcceptStatement(CallerSession& session,
                       ActiveStatement statement,
                       Duration timeout);
  /** Ends an answer to a caller. Every answer to a statement ends here.

      @param log_end  end of the endpoint's log, if an endpoint answered */
  void FinishAnswer(CallerSession& session, std::optional<LogPoint> log_end);
  void ReplyLocally(CallerSession& session);
  void ReplyError(CallerSession& session,
                  StatementError error,
                  std::string_view reason);
  TransactionStatus GetCallerTransactionStatus(
      const CallerSession& session) const;
  void AddToBacklog(CallerSession& session, std::string_view frame);
  void RunBacklog(uint64_t id);
  void EndSession(CallerSession& session);

  // traffic_core_allowances.h: permits of teams with a limit.
  /** Takes a permit for the operation that the session's statement begins, if
      it needs one.

      @returns false if the statement waits for a permit or was refused */
  bool ChargeOperation(CallerSession& session);
  /** Takes another permit if the statement's has expired in a queue, because
      the operators count operations when they reach an endpoint.

      @returns false if there is none; the statement was refused */
  bool RenewPermit(CallerSession& session);
  /** Ends the statement's wait for a permit, if it waits for one. */
  void CancelPermit(CallerSession& session);
  void RefuseWithoutPermit(CallerSession& session);

  // traffic_core_dispatch.h and traffic_core_reads.h: routing of statements.
  void Dispatch(CallerSession& session);
  void DispatchToPrimary(CallerSession& session);
  void DispatchRead(CallerSession& session);
  EndpointPool* ChooseReadPool(const CallerSession& session,
                               ServiceState& service);
  /** @returns what speaks against an endpoint for a read besides its load and
               distance, as waiting time */
  Duration GetReadPenalty(const CallerSession& session,
                          const EndpointPool& pool);
  void EnqueueStatement(EndpointPool& pool, CallerSession& session);
  void ScheduleRetry(CallerSession& session, Duration delay);
  void RemoveFromQueues(CallerSession& session);
  void StartQueued(EndpointPool& pool);
  bool HasIdleConnection(const EndpointPool& pool);
  /** @returns whether connections of a pool may belong to teams */
  bool UsesTeams(const EndpointPool& pool) const {
    return pool.serves_teams || view_->routes->teams != nullptr;
  }
  /** @returns the hashes of the teams that have direct connections, ordered */
  std::vector<uint64_t> ListConnectedTeams(const EndpointPool& pool);
  /** @returns the first queued statement whose team has no connection, if all
               connections are in use and one could be opened instead of
               another; one without an id otherwise */
  QueuedStatement FindUnconnected(const EndpointPool& pool);
  /** @returns whether a connection that a team would use again is to be closed
               for a statement whose team has none, if there is one */
  bool IsOwedToOtherTeam(const EndpointPool& pool,
                         const PooledConnection& connection,
                         const QueuedStatement& unconnected);
  size_t CountOpening(const EndpointPool& pool);
  size_t GetMaxOpening(const EndpointPool& pool) const;
  size_t CountTeamConnections(const EndpointPool& pool, const TeamId& team);
  /** Closes the connection that has been idle longest and that a statement
      cannot use.

      @param holder       the holder that the statement needs, or null
      @param team         the team for which a direct connection is opened
      @param only_direct  connections to holders are kept
      @returns            false if there is none
  */
  bool CloseForOpening(EndpointPool& pool,
                       const EndpointHolder* holder,
                       const TeamId& team,
                       bool only_direct = false);
  void DispatchQueueAgain(EndpointPool& pool);
  void OpenConnections(EndpointPool& pool);
  void OpenConnection(EndpointPool& pool,
                      const EndpointHolder* holder,
                      const TeamId& team);
  void HandleConnectTimeout(const PooledConnection& connection);
  PooledConnection* PickIdleConnection(EndpointPool& pool,
                                       const CallerSession& session);
  void StartStatement(PooledConnection& connection, CallerSession& session);
  /** Lets a statement wait for the pending replies before it is sent. */
  void AwaitReplies(PooledConnection& connection, CallerSession& session);
  /** Sends a statement whose wait has ended, if it may still be sent. */
  void SendAwaiting(PooledConnection& connection, CallerSession& session);
  void SendStatement(PooledConnection& connection, CallerSession& session);
  /** Prepares an execution's statement if it isn't prepared yet.

      @returns its name on the connection
  */
  PooledStatementName PrepareStatement(PooledConnection& connection,
                                       const ActiveStatement& statement);
  void SendInTransaction(CallerSession& session);

  // traffic_core_placement.h: placement of reads by measured cost.
  EndpointPool* PlaceRead(const CallerSession& session, ServiceState& service);
  /** Ejects endpoints and ends ejections. @see ReadPlacement::Review */
  void ReviewEjections(ServiceState& service);
  void RecordPlacementReply(EndpointPool& pool,
                            const PendingReply& reply,
                            bool is_read);
  /** Records the failure of statements that were sent to an endpoint. */
  void RecordPlacementFailure(const EndpointId& endpoint);

  // traffic_core_bounds.h: requests for freshness bounds.
  void RefreshBounds(ServiceState& service, Duration max_bound_age);
  void ReplyToBoundQueries(const ServiceId& id, ServiceState& service);
  void DispatchReadsAwaitingBound(ServiceState& service);

  // traffic_core_connections.h: state of pooled connections.
  void ExpectReply(PooledConnection& connection,
                   EndpointRequestKind request,
                   uint64_t statement_id = 0,
                   PooledStatementName name = {});
  void RollBackOpenTransaction(PooledConnection& connection);
  void BeginReadWriteTransaction(PooledConnection& connection);
  /** Sets a session's values, and no others, on a connection.

      @returns whether a statement must wait until they are accepted
  */
  bool SyncValues(PooledConnection& connection, const CallerSession& session);
  /** Sets a session's values without a reset. @see SyncValues */
  bool AddValues(PooledConnection& connection, const CallerSession& session);
  void ResetValues(PooledConnection& connection);
  void ReturnToPool(PooledConnection& connection);
  void ScheduleReturnTimeout(PooledConnection& connection);
  void MarkIdle(PooledConnection& connection);
  void Abandon(uint64_t connection_id);
  void CloseEndpointConnection(uint64_t connection_id);
  void HandleConnectionLoss(uint64_t connection_id, std::string_view reason);
  void RetirePool(EndpointPool& pool);
  void HandleEndpointFailure(EndpointPool& pool, EndpointCondition condition);
  void RerouteReads(EndpointPool& pool);
  void RecordFreshness(EndpointPool& pool, std::optional<StatementError> error);

  // traffic_core_primaries.h: which endpoint is presumably the primary.
  const EndpointId* GetPresumedPrimary(const ServiceState& service) const;
  EndpointPool* FindPrimaryPool(const ServiceState& service);
  bool IsPrimary(const EndpointPool& pool);
  /** @returns whether an endpoint gets new statements; those of transactions
      that are open there go on */
  bool TakesNewStatements(const EndpointPool& pool);
  void HandlePrimaryChange(ServiceState& service);
  void HandlePrimaryConfirmed(EndpointPool& pool,
                              TimePoint requested_at,
                              LogPoint point);
  void LogPrimaryChange(const EndpointPool& pool,
                        const CommitLossDetector::Finding& finding);
  void HandleNotPrimary(EndpointPool& pool);

  // traffic_core_holds.h: writes that wait for a primary's successor.
  void EndExpiredCommitHolds();
  Term FindNewestTerm(const ServiceState& service);
  /** @returns whether the session's statement must not be sent to an endpoint,
               because a successor of the primary is to run it */
  bool IsHeldBack(const CallerSession& session, const EndpointId& endpoint);
  void AbortHeldBackTransaction(CallerSession& session,
                                PooledConnection& connection);
  /** Rolls the open transaction back and refuses the statement in progress,
      which was not sent.

      @param cause   why, for the log
      @param reason  why, for the caller */
  void AbortTransaction(CallerSession& session,
                        PooledConnection& connection,
                        std::string_view cause,
                        std::string_view reason);
  void LogCommitHoldEnd(const ServiceId& id,
                        const CommitHold::Ended& hold,
                        std::string_view reason);

  // traffic_core_pool_sizes.h: connection counts and idle timeouts.
  double GetConnectionsPerVm(const EndpointPool& pool) const;
  /** @returns whether there are too few connections for each VM to have what it
               needs */
  bool AreConnectionsScarce(const EndpointPool& pool) const;
  uint32_t CountSharers(const EndpointPool& pool) const;
  size_t CountDirectConnections(const EndpointPool& pool);
  uint32_t GetConnectionShare(const EndpointPool& pool) const;
  uint32_t GetMaxConnections(const EndpointPool& pool) const;
  Duration GetIdleTimeout(const EndpointPool& pool) const;
  void ShrinkPool(EndpointPool& pool);
  void CloseIdleConnections(EndpointPool& pool);

  // traffic_core_replies.h and traffic_core_errors.h: replies from endpoints.
  void HandleReply(PooledConnection& connection, const EndpointMessage& ready);
  void HandleOpenError(PooledConnection& connection, const PendingReply& reply);
  /** Logs that an endpoint refused a PREPARE, or a change of session values,
      that the pool sent on its own behalf. */
  void LogRefusal(Event event,
                  const PooledConnection& connection,
                  const PendingReply& reply);
  /** Handles the refusal of a change of session values.

      @returns false if the connection was closed
  */
  bool HandleValuesRefused(PooledConnection& connection,
                           const PendingReply& reply);
  void RecordRefusal(PooledConnection& connection, StatementError error);
  void Advance(PooledConnection& connection);
  void HandleBeginError(PooledConnection& connection);
  void HandleStatementReply(PooledConnection& connection,
                            const PendingReply& reply,
                            const EndpointMessage& ready);
  void HandleSuccess(PooledConnection& connection,
                     CallerSession& session,
                     const PendingReply& reply,
                     const EndpointMessage& ready);
  void RecordAnsweredCommit(const EndpointId& endpoint,
                            LogPoint end_before,
                            LogPoint end);
  void HandleStatementError(PooledConnection& connection,
                            CallerSession& session,
                            StatementError error);
  void HandleUnknownName(PooledConnection& connection, CallerSession& session);
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
                      Duration delay);

  // traffic_core_drain.h: the end of sessions before the process exits.
  /** Phases of a drain, in their order. */
  enum class DrainPhase {
    kNone,
    /** A growing part of the sessions at rest is closed. */
    kSpreading,
    /** All sessions at rest are closed, and others behind their answers. */
    kClosing,
    /** Statements that were not sent to an endpoint are refused. */
    kRefusing,
    /** Statements that were sent fail, and all sessions end. */
    kEnding,
  };
  DrainPhase GetDrainPhase(Duration elapsed) const;
  void HandleDrain();
  void DrainSession(CallerSession& session);
  /** @returns whether a drain closes a session without a statement in progress,
               as it rests */
  bool EndsAtRest(const CallerSession& session) const;
  /** @returns whether a drain closes a session that has just been answered */
  bool EndsBehindAnswer(const CallerSession& session) const;
  bool IsRefusing() const { return drain_phase_ >= DrainPhase::kRefusing; }
  /** Refuses the statement in progress, unless it was sent to an endpoint. */
  void RefuseUnsent(CallerSession& session);
  /** Answers a request to open a session with an error, and ends it. */
  void RefuseSession(CallerSession& session);

  // traffic_core_timers.h and traffic_core_control.h: timers, updates.
  void ScheduleTimer(Timer timer);
  void HandleTimer(const Timer& timer);
  bool IsObsolete(const Timer& timer);
  void CloseAndStartQueued(const PooledConnection& connection);
  void HandleDeadline(CallerSession& session);
  void HandleSlowStatement(CallerSession& session);
  void HandleSlowForwarded(CallerSession& session,
                           PooledConnection& connection,
                           EndpointPool& pool);
  void HedgeRead(CallerSession& session,
                 const EndpointPool& pool,
                 std::string_view silent,
                 TimePoint sent_at);
  void HandleIdleTransaction(CallerSession& session);
  void HandleDrainingUseLimit(EndpointPool& pool);
  void ReviewPrimaries();
  void RenewUnusedTransactions();

  CallerSession* FindSession(uint64_t id);
  PooledConnection* FindConnection(uint64_t id);
  EndpointPool* FindPool(const EndpointId& id);
  ServiceState& GetService(const ServiceId& id) { return services_[id]; }
  bool RequiresPrimary(EndpointRequirement requirement) const {
    return requirement == EndpointRequirement::kPrimaryRead ||
           requirement == EndpointRequirement::kWrite ||
           requirement == EndpointRequirement::kReadWriteTransaction;
  }
  bool IsInProgress(uint64_t session, uint64_t statement_id);

  N& net_;
  const TrafficOptions options_;
  std::shared_ptr<const FleetView> view_ = std::make_shared<FleetView>();
  std::unordered_map<uint64_t, CallerSession> sessions_;
  std::unordered_map<uint64_t, PooledConnection> connections_;
  std::map<EndpointId, EndpointPool> pools_;
  std::map<ServiceId, ServiceState> services_;
  std::map<VmId, HolderState> holder_states_;
  /** Number of sessions_ in which other VMs forward statements. */
  size_t forwarded_session_count_ = 0;
  /** Sessions that wait for the first configuration. */
  std::vector<uint64_t> sessions_awaiting_config_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  uint64_t next_id_ = 1;
  DrainPhase drain_phase_ = DrainPhase::kNone;
  TimePoint drain_began_at_;
  DrainPeriods drain_periods_;
  /** Sessions that were answered during the current event of a drain. */
  std::vector<uint64_t> answered_sessions_;
  LogRateLimiter served_log_limiter_;
  HedgeBudget hedge_budget_;
  TrafficCounters counters_;
  AllowanceBook<TrafficCore> allowances_;
  /** Sessions whose statements wait for a permit, by statement. */
  std::unordered_map<uint64_t, uint64_t> sessions_awaiting_permit_;
  /** Time of the next call of AllowanceBook::HandleWake(), if one is due. */
  std::optional<TimePoint> permit_wake_at_;
  HeldBytes held_text_;
  HeldBytes statement_text_;
  ProcessRandom placement_random_;
  /** Endpoints that are compared for a read; kept to save allocations. */
  std::vector<PlacementCandidate> candidates_;
  std::vector<EndpointPool*> candidate_pools_;
};

}  // namespace magnoliareel

// Definitions of the methods, by topic.
#include "relay/core/traffic_core_allowances.h"       // IWYU pragma: export
#include "relay/core/traffic_core_bounds.h"           // IWYU pragma: export
#include "relay/core/traffic_core_connections.h"      // IWYU pragma: export
#include "relay/core/traffic_core_control.h"          // IWYU pragma: export
#include "relay/core/traffic_core_dispatch.h"         // IWYU pragma: export
#include "relay/core/traffic_core_drain.h"            // IWYU pragma: export
#include "relay/core/traffic_core_errors.h"           // IWYU pragma: export
#include "relay/core/traffic_core_forwarding.h"       // IWYU pragma: export
#include "relay/core/traffic_core_holds.h"            // IWYU pragma: export
#include "relay/core/traffic_core_placement.h"        // IWYU pragma: export
#include "relay/core/traffic_core_pool_sizes.h"       // IWYU pragma: export
#include "relay/core/traffic_core_primaries.h"        // IWYU pragma: export
#include "relay/core/traffic_core_reads.h"            // IWYU pragma: export
#include "relay/core/traffic_core_replies.h"          // IWYU pragma: export
#include "relay/core/traffic_core_sessions.h"         // IWYU pragma: export
#include "relay/core/traffic_core_slow_statements.h"  // IWYU pragma: export
#include "relay/core/traffic_core_statements.h"       // IWYU pragma: export
#include "relay/core/traffic_core_teams.h"            // IWYU pragma: export
#include "relay/core/traffic_core_timers.h"           // IWYU pragma: export

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_H_
