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
  /** The call to make; the runner fills in the connection. */
  EndpointCall call;
  /** Who asked for it. */
  CallerId caller;
  /** Declared class. */
  WorkClass work_class = WorkClass::kShort;
  /** When it is no longer wanted. */
  TimePoint deadline;
  /** Connection of the transaction that it belongs to; empty if none. */
  ConnectionId connection;
  /** Whether it opens a transaction, which keeps the connection. */
  bool is_begin = false;
  /** Whether it ends a transaction, which gives the connection back. */
  bool is_end = false;
};

/** How a statement ended. */
struct RunnerEnd {
  /** What became of it. */
  Outcome outcome = Outcome::kNotRun;
  /** Why it was not done. */
  std::error_code ec;
  /** The endpoint's answer, if one arrived. */
  EndpointAnswer answer;
  /** The connection that it ran on, if it is kept by a transaction. */
  ConnectionId connection;
  /** Whether the transaction that it belongs to has been rolled back. */
  bool is_transaction_lost = false;
  /** Time in the queue. */
  Duration waited{0};
  /** Time on the slot. */
  Duration ran{0};
};

/** Runs statements on one endpoint, within its slots and connections.

    Runs on the control thread.

    @tparam E  the control thread
    @tparam L  calls the endpoint
    @tparam P  the product's behaviour or a baseline
*/
template <Executor E, EndpointLink L, PoolerPolicy P>
class EndpointRunner {
 public:
  /** Receives the end of a statement. */
  using Completion = std::function<void(RunnerEnd)>;

  /** Connections left to another owner during a handover. */
  static constexpr int64_t kReservedConnections = 4;
  /** Longest time to open a connection. */
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(1000);
  /** Pause after a connection could not be opened. */
  static constexpr Duration kConnectPause = std::chrono::milliseconds(50);
  /** Attempts to close a connection that is given up. */
  static constexpr int kCloseAttempts = 20;
  /** Pause between these attempts. */
  static constexpr Duration kClosePause = std::chrono::milliseconds(500);
  /** Time that an answer may arrive after the statement's deadline. */
  static constexpr Duration kAnswerGrace = std::chrono::milliseconds(50);

  /** @param executor  the control thread
      @param link      calls the endpoint
      @param shape     the endpoint
      @param name      prefix of connections' names, unique to the process
  */
  EndpointRunner(E& executor,
                 L& link,
                 const EndpointShape& shape,
                 std::string name)
      : executor_(executor),
        link_(link),
        endpoint_(shape.endpoint),
        name_(std::move(name)),
        scheduler_(shape.slots),
        connections_(LimitConnections(shape)) {}

  /** Takes over changed limits. @param shape  the endpoint */
  void Reshape(const EndpointShape& shape) {
    scheduler_.SetSlots(shape.slots);
    connections_.SetLimit(LimitConnections(shape));
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
        RunnerEnd end;
        end.ec = ec;
        done(std::move(end));
      });
      return;
    }
    executor_.After(work.deadline - now, [this] { Expire(); });
    waiting_.emplace(id, Waiting{std::move(work), std::move(done), now});
    StartReady();
  }

  /** Closes a connection that was kept by a transaction. @param connection  it
   */
  void CloseConnection(const ConnectionId& connection) {
    connections_.RecordClosed();
    SendClose(connection, kCloseAttempts);
    StartReady();
  }

  /** Gives up running statements whose answers are not to be expected; they
      end as if the answer was lost.

      @param is_hopeless  whether a call is given up
  */
  void Abandon(const std::function<bool(const EndpointCall&)>& is_hopeless) {
    std::vector<uint64_t> ids;
    for (const auto& [id, it] : running_) {
      if (is_hopeless(it.work.call)) {
        ids.push_back(id);
      }
    }
    for (const uint64_t id : ids) {
      Finish(id, {Error::kAnswerLost, {}});
    }
  }

  /** Opens connections for all slots ahead of need. */
  void Warm() {
    while (connections_.CountOpen() < scheduler_.GetSlots() &&
           OpenConnection()) {
    }
  }

  /** @returns statements that wait or run */
  size_t CountInProgress() const {
    return scheduler_.CountWaiting() + scheduler_.CountRunning();
  }
  /** @returns statements that wait */
  size_t CountWaiting() const { return scheduler_.CountWaiting(); }
  /** @returns connections open or being opened */
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

  static int64_t LimitConnections(const EndpointShape& shape) {
    return std::max<int64_t>(shape.slots,
                             shape.connections - kReservedConnections);
  }

  void StartReady() {
    while (const auto next =
               scheduler_.StartNext(connections_.CountIdle() > 0)) {
      Start(next->id);
    }
    OpenForWaiting();
  }

  /** Opens a connection for each statement that waits and could use one. */
  void OpenForWaiting() {
    const auto wanted = std::min(
        static_cast<int64_t>(scheduler_.CountWaiting()), scheduler_.GetSlots());
    while (connections_.CountIdle() == 0 &&
           connections_.CountOpening() < wanted) {
      if (!OpenConnection()) {
        return;
      }
    }
  }

  /** A statement is taken off the queue only when a connection is at hand, so
      that it can still expire in the queue. Continuations bring their own and
      come first. */
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

  void Start(uint64_t id) {
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
        std::max(running.work.deadline - now, Duration::zero()) + kAnswerGrace;
    running_.emplace(id, std::move(running));
    link_.Call(
        endpoint_, std::move(call), timeout,
        [this, id](EndpointReply reply) { Finish(id, std::move(reply)); });
  }

  void Finish(uint64_t id, EndpointReply reply) {
    auto node = running_.extract(id);
    if (node.empty()) {
      return;  // It was abandoned before its answer came.
    }
    Running& running = node.mapped();
    const RunnerWork& work = running.work;
    if (P::kMatchesAnswers && !reply.ec &&
        reply.answer.request != work.call.request) {
      reply.ec = Error::kAnswerLost;
    }
    RunnerEnd end;
    end.outcome = ClassifyCall({reply.ec, reply.answer.ec});
    end.ec = reply.ec ? reply.ec : reply.answer.ec;
    end.waited = running.waited;
    end.ran = executor_.Now() - running.started;
    if (end.outcome == Outcome::kDone) {
      estimates_.Learn(work.call.statement, end.ran);
    }
    scheduler_.Finish(id, end.ran, executor_.Now());
    SettleConnection(work, reply, end);
    end.answer = std::move(reply.answer);
    running.done(std::move(end));
    StartReady();
  }

  /** Decides where the connection of a finished statement goes. */
  void SettleConnection(const RunnerWork& work,
                        const EndpointReply& reply,
                        RunnerEnd& end) {
    const ConnectionId& connection = work.call.connection;
    const bool is_in_transaction = !work.connection.IsEmpty();
    if (reply.ec || end.ec == Error::kConnectionLost) {
      end.is_transaction_lost = is_in_transaction;
      connections_.RecordClosed();
      SendClose(connection, kCloseAttempts);
      // The other idle connections are gone too if the endpoint restarted.
      connections_.TakeAllIdle();
      return;
    }
    end.is_transaction_lost =
        is_in_transaction && end.outcome == Outcome::kNotRun;
    const bool is_kept =
        P::kPinsConnections &&
        ((is_in_transaction && !work.is_end && !end.is_transaction_lost) ||
         (work.is_begin && end.outcome == Outcome::kDone));
    if (is_kept) {
      end.connection = connection;
    } else {
      connections_.PutIdle(connection);
    }
  }

  void Expire() {
    for (const QueuedWork& it : scheduler_.TakeExpired(executor_.Now())) {
      auto node = waiting_.extract(it.id);
      assert(!node.empty());
      RunnerEnd end;
      end.ec = Error::kDeadlineExceeded;
      end.waited = executor_.Now() - node.mapped().arrived;
      end.connection = node.mapped().work.connection;
      node.mapped().done(std::move(end));
    }
  }

  bool OpenConnection() {
    if (executor_.Now() < no_connect_until_ || !connections_.TryBeginOpen()) {
      return false;
    }
    EndpointCall call;
    call.verb = EndpointVerb::kConnect;
    call.connection.value = name_ + "-" + std::to_string(next_connection_++);
    const ConnectionId connection = call.connection;
    link_.Call(endpoint_, std::move(call), kConnectTimeout,
               [this, connection](const EndpointReply& reply) {
                 NoteConnect(connection, reply);
               });
    return true;
  }

  void NoteConnect(const ConnectionId& connection, const EndpointReply& reply) {
    if (!reply.ec && !reply.answer.ec) {
      connections_.RecordOpened();
      connections_.PutIdle(connection);
      StartReady();
      return;
    }
    if (reply.ec) {
      SendClose(connection, kCloseAttempts);
    }
    connections_.RecordOpenFailure();
    no_connect_until_ = executor_.Now() + kConnectPause;
    executor_.After(kConnectPause, [this] { StartReady(); });
  }

  void SendClose(const ConnectionId& connection, int attempts) {
    EndpointCall call;
    call.verb = EndpointVerb::kClose;
    call.connection = connection;
    link_.Call(endpoint_, std::move(call), kConnectTimeout,
               [this, connection, attempts](const EndpointReply& reply) {
                 if (reply.ec && attempts > 1) {
                   executor_.After(kClosePause, [this, connection, attempts] {
                     SendClose(connection, attempts - 1);
                   });
                 }
               });
  }

  E& executor_;
  L& link_;
  const EndpointId endpoint_;
  const std::string name_;
  SlotScheduler<typename P::Queue> scheduler_;
  ConnectionPool connections_;
  RunTimeEstimates estimates_;
  std::unordered_map<uint64_t, Waiting> waiting_;
  std::unordered_map<uint64_t, Running> running_;
  uint64_t next_id_ = 1;
  uint64_t next_connection_ = 1;
  TimePoint no_connect_until_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_ENDPOINTS_ENDPOINT_RUNNER_H_
