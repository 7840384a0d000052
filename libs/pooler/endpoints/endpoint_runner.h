#ifndef MAGNOLIAREEL_POOLER_ENDPOINTS_ENDPOINT_RUNNER_H_
#define MAGNOLIAREEL_POOLER_ENDPOINTS_ENDPOINT_RUNNER_H_

#include <cassert>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/core.h"
#include "document/document.h"
#include "failover/failover.h"
#include "outcome/outcome.h"
#include "pool/pool.h"
#include "pooler/policies/pooler_policy.h"

namespace magnoliareel {

/** A statement to run on an endpoint. */
struct RunnerWork {
  /** The call to send; the runner sets its connection. */
  EndpointCall call;
  /** Caller that sent the statement. */
  CallerId caller;
  /** Declared class of the statement. */
  WorkClass work_class = WorkClass::kShort;
  /** Time after which an answer is no longer wanted. */
  TimePoint deadline;
  /** Connection of the statement's transaction; empty if there is none. */
  ConnectionId connection;
  /** True if the statement opens a transaction, which keeps the connection. */
  bool is_begin = false;
  /** True if the statement ends a transaction and releases its connection. */
  bool is_end = false;
};

/** Result of a statement. */
struct RunnerResult {
  /** Outcome of the statement. */
  Outcome outcome = Outcome::kNotRun;
  /** Reason why the outcome is not kDone. */
  std::error_code ec;
  /** The endpoint's answer, if one arrived. */
  EndpointAnswer answer;
  /** The statement's connection, if a transaction keeps it. */
  ConnectionId connection;
  /** True if the statement's transaction has been rolled back. */
  bool is_transaction_lost = false;
  /** Time in the queue. */
  Duration waited{0};
  /** Time in execution on a slot. */
  Duration ran{0};
};

/** Runs statements on one endpoint, within the limits of its slots and
    connections.

    Runs on the control thread.

    @tparam E  executor of the control thread
    @tparam L  link that calls the endpoint
    @tparam P  policy: the product's behaviour or a baseline
*/
template <Executor E, EndpointLink L, PoolerPolicy P>
class EndpointRunner {
 public:
  /** Receives the result of a statement. */
  using Completion = std::function<void(RunnerResult)>;

  /** Connections reserved for another owner during a handover. */
  static constexpr int64_t kReservedConnections = 4;
  /** Longest wait for an endpoint to open or close a connection. */
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(1000);
  /** Pause after a connection could not be opened. */
  static constexpr Duration kConnectBackoff = std::chrono::milliseconds(50);
  /** Maximum number of attempts to close an abandoned connection. */
  static constexpr int kMaxCloseAttempts = 20;
  /** Pause between attempts to close a connection. */
  static constexpr Duration kCloseRetryInterval =
      std::chrono::milliseconds(500);
  /** Additional wait for an answer after the statement's deadline. */
  static constexpr Duration kAnswerGracePeriod = std::chrono::milliseconds(50);

  /** @param executor           executor of the control thread
      @param link               link that calls the endpoint
      @param config             the endpoint and its limits
      @param connection_prefix  prefix of connection ids, unique to the process
  */
  EndpointRunner(E& executor,
                 L& link,
                 const EndpointConfig& config,
                 std::string connection_prefix)
      : executor_(executor),
        link_(link),
        endpoint_(config.endpoint),
        connection_prefix_(std::move(connection_prefix)),
        scheduler_(config.slots),
        connections_(LimitConnections(config)) {}

  /** Applies changed limits of slots and connections.

      @param config  the endpoint and its new limits
  */
  void UpdateLimits(const EndpointConfig& config) {
    scheduler_.SetSlots(config.slots);
    connections_.SetLimit(LimitConnections(config));
  }

  /** Queues a statement.

      @param work  the statement
      @param done  called once, never before this returns
  */
  void Run(RunnerWork work, Completion done) {
    const TimePoint now = executor_.Now();
    const uint64_t id = next_id_++;
    QueuedWork queued{id,
                      work.caller,
                      estimates_.Classify(work.call.statement, work.work_class),
                      !work.connection.IsEmpty(),
                      now,
                      work.deadline};
    if (const std::error_code ec = scheduler_.Admit(std::move(queued), now)) {
      executor_.Post([done = std::move(done), ec] {
        RunnerResult result;
        result.ec = ec;
        done(std::move(result));
      });
      return;
    }
    executor_.After(work.deadline - now, [this] { Expire(); });
    waiting_.emplace(id, Waiting{std::move(work), std::move(done), now});
    StartReadyStatements();
  }

  /** Closes a connection that a transaction kept.

      @param connection  connection to close
  */
  void CloseConnection(const ConnectionId& connection) {
    connections_.RecordClosed();
    SendClose(connection, kMaxCloseAttempts);
    StartReadyStatements();
  }

  /** Abandons running statements that are not expected to be answered; they end
      as if their answer was lost.

      @param should_abandon  returns whether to abandon a call
  */
  void Abandon(const std::function<bool(const EndpointCall&)>& should_abandon) {
    std::vector<uint64_t> ids;
    for (const auto& [id, it] : running_) {
      if (should_abandon(it.work.call)) {
        ids.push_back(id);
      }
    }
    for (const uint64_t id : ids) {
      FinishStatement(id, {Error::kAnswerLost, {}});
    }
  }

  /** Opens connections for all slots before statements need them. */
  void WarmUp() {
    while (connections_.CountOpen() < scheduler_.GetSlots() &&
           OpenConnection()) {
    }
  }

  /** @returns the number of queued and running statements */
  size_t CountInProgress() const {
    return scheduler_.CountWaiting() + scheduler_.CountRunning();
  }
  /** @returns the number of queued statements */
  size_t CountWaiting() const { return scheduler_.CountWaiting(); }
  /** @returns the number of connections that are open or being opened */
  int64_t CountConnections() const { return connections_.CountOpen(); }

 private:
  struct Waiting {
    RunnerWork work;
    Completion done;
    TimePoint arrived;
  };
  struct Running {
    RunnerWork work;
    Completion done;
    Duration waited{0};
    TimePoint started;
  };

  static int64_t LimitConnections(const EndpointConfig& config) {
    return std::max<int64_t>(config.slots,
                             config.connections - kReservedConnections);
  }

  void StartReadyStatements() {
    while (const auto next =
               scheduler_.StartNext(connections_.CountIdle() > 0)) {
      StartStatement(next->id);
    }
    OpenConnectionsForWaiting();
  }

  /** Opens a connection for each queued statement that a slot could run. */
  void OpenConnectionsForWaiting() {
    const auto wanted = std::min(
        static_cast<int64_t>(scheduler_.CountWaiting()), scheduler_.GetSlots());
    while (connections_.CountIdle() == 0 &&
           connections_.CountOpening() < wanted) {
      if (!OpenConnection()) {
        return;
      }
    }
  }

  /** Returns whether the next statement can start. A statement leaves the queue
      only when a connection is available, so that it can still expire in the
      queue. Statements of open transactions have a connection and come
      first. */
  bool HasConnectionForNext() {
    if (scheduler_.CountWaiting() == 0) {
      return false;
    }
    if (connections_.CountIdle() > 0 || CountWaitingContinuations() > 0) {
      return true;
    }
    if (connections_.CountOpening() <
        static_cast<int64_t>(scheduler_.CountWaiting())) {
      OpenConnection();
    }
    return false;
  }

  size_t CountWaitingContinuations() const {
    size_t n = 0;
    for (const auto& [id, it] : waiting_) {
      n += it.work.connection.IsEmpty() ? 0 : 1;
    }
    return n;
  }

  void StartStatement(uint64_t id) {
    auto node = waiting_.extract(id);
    assert(!node.empty());
    Waiting& waiting = node.mapped();
    const TimePoint now = executor_.Now();
    Running running{std::move(waiting.work), std::move(waiting.done),
                    now - waiting.arrived, now};
    if (running.work.connection.IsEmpty()) {
      running.work.call.connection = *connections_.TakeIdle();
    } else {
      running.work.call.connection = running.work.connection;
    }
    if constexpr (!P::kRecordsRequests) {
      running.work.call.is_recorded = false;
    }
    EndpointCall call = running.work.call;
    const Duration timeout =
        std::max(running.work.deadline - now, Duration::zero()) +
        kAnswerGracePeriod;
    running_.emplace(id, std::move(running));
    link_.Call(endpoint_, std::move(call), timeout,
               [this, id](EndpointReply reply) {
                 FinishStatement(id, std::move(reply));
               });
  }

  void FinishStatement(uint64_t id, EndpointReply reply) {
    auto node = running_.extract(id);
    if (node.empty()) {
      return;  // Abandoned before the answer arrived.
    }
    Running& running = node.mapped();
    const RunnerWork& work = running.work;
    if (P::kMatchesAnswers && !reply.ec &&
        reply.answer.request != work.call.request) {
      reply.ec = Error::kAnswerLost;
    }
    RunnerResult result;
    result.outcome = ClassifyCall({reply.ec, reply.answer.ec});
    result.ec = reply.ec ? reply.ec : reply.answer.ec;
    result.waited = running.waited;
    result.ran = executor_.Now() - running.started;
    if (result.outcome == Outcome::kDone) {
      estimates_.Learn(work.call.statement, result.ran);
    }
    scheduler_.Finish(id, result.ran, executor_.Now());
    ReleaseConnection(work, reply, result);
    result.answer = std::move(reply.answer);
    running.done(std::move(result));
    StartReadyStatements();
  }

  /** Closes the connection of a finished statement, returns it to the pool or
      leaves it to the transaction. */
  void ReleaseConnection(const RunnerWork& work,
                         const EndpointReply& reply,
                         RunnerResult& result) {
    const ConnectionId& connection = work.call.connection;
    const bool is_in_transaction = !work.connection.IsEmpty();
    if (reply.ec || result.ec == Error::kConnectionLost) {
      result.is_transaction_lost = is_in_transaction;
      connections_.RecordClosed();
      SendClose(connection, kMaxCloseAttempts);
      // If the endpoint restarted, its idle connections are lost too. If it did
      // not, they are still open there.
      for (const ConnectionId& it : connections_.TakeAllIdle()) {
        SendClose(it, kMaxCloseAttempts);
      }
      return;
    }
    result.is_transaction_lost =
        is_in_transaction && result.outcome == Outcome::kNotRun;
    const bool is_kept =
        P::kPinsConnections &&
        ((is_in_transaction && !work.is_end && !result.is_transaction_lost) ||
         (work.is_begin && result.outcome == Outcome::kDone));
    if (is_kept) {
      result.connection = connection;
    } else {
      connections_.PutIdle(connection);
    }
  }

  void Expire() {
    for (const QueuedWork& it : scheduler_.TakeExpired(executor_.Now())) {
      auto node = waiting_.extract(it.id);
      assert(!node.empty());
      RunnerResult result;
      result.ec = Error::kDeadlineExceeded;
      result.waited = executor_.Now() - node.mapped().arrived;
      result.connection = node.mapped().work.connection;
      node.mapped().done(std::move(result));
    }
  }

  bool OpenConnection() {
    if (executor_.Now() < connect_backoff_until_ ||
        !connections_.TryBeginOpen()) {
      return false;
    }
    EndpointCall call;
    call.verb = EndpointVerb::kConnect;
    call.connection.value =
        connection_prefix_ + "-" + std::to_string(next_connection_++);
    const ConnectionId connection = call.connection;
    link_.Call(endpoint_, std::move(call), kConnectTimeout,
               [this, connection](const EndpointReply& reply) {
                 HandleConnectReply(connection, reply);
               });
    return true;
  }

  void HandleConnectReply(const ConnectionId& connection,
                          const EndpointReply& reply) {
    if (!reply.ec && !reply.answer.ec) {
      connections_.RecordOpened();
      connections_.PutIdle(connection);
      StartReadyStatements();
      return;
    }
    if (reply.ec) {
      SendClose(connection, kMaxCloseAttempts);
    }
    connections_.RecordOpenFailure();
    connect_backoff_until_ = executor_.Now() + kConnectBackoff;
    executor_.After(kConnectBackoff, [this] { StartReadyStatements(); });
  }

  void SendClose(const ConnectionId& connection, int attempts) {
    EndpointCall call;
    call.verb = EndpointVerb::kClose;
    call.connection = connection;
    link_.Call(endpoint_, std::move(call), kConnectTimeout,
               [this, connection, attempts](const EndpointReply& reply) {
                 if (reply.ec && attempts > 1) {
                   executor_.After(kCloseRetryInterval,
                                   [this, connection, attempts] {
                                     SendClose(connection, attempts - 1);
                                   });
                 }
               });
  }

  E& executor_;
  L& link_;
  const EndpointId endpoint_;
  const std::string connection_prefix_;
  SlotScheduler<typename P::Queue> scheduler_;
  ConnectionPool connections_;
  RunTimeEstimates estimates_;
  std::unordered_map<uint64_t, Waiting> waiting_;
  std::unordered_map<uint64_t, Running> running_;
  uint64_t next_id_ = 1;
  uint64_t next_connection_ = 1;
  TimePoint connect_backoff_until_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_ENDPOINTS_ENDPOINT_RUNNER_H_
