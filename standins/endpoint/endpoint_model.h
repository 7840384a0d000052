#ifndef MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_MODEL_H_
#define MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_MODEL_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "messages/messages.h"
#include "standins/endpoint/database.h"
#include "standins/endpoint/endpoint_faults.h"
#include "standins/endpoint/endpoint_settings.h"
#include "standins/endpoint/statement.h"

namespace magnoliareel::standin {

/** Returns the answer to a call. Exactly one of the functions is called, at
    most once. */
struct EndpointResponder {
  /** Sends the answer. */
  std::function<void(EndpointAnswer)> send;
  /** Closes the connection on which the call arrived, without an answer. */
  std::function<void()> drop;
};

/** @param verb  verb of a call  @returns whether the call occupies a slot */
bool TakesSlot(EndpointVerb verb);

/** Adds timing to a Database: slots with a first-in-first-out queue, run times,
    the time to open a connection, watches that wait for a change, asynchronous
    replication, and faults. Test-only.

    @tparam E  executor that runs the model's steps, one at a time
*/
template <Executor E>
class EndpointModel {
 public:
  /** Receives the answer of a primary, or nothing if the call failed. */
  using FetchCompletion = std::function<void(std::optional<EndpointAnswer>)>;
  /** Sends a call to the endpoint at an address. */
  using Fetch = std::function<
      void(const std::string&, const EndpointCall&, FetchCompletion)>;

  /** Longest time for which a primary holds a replication call while it has no
      new records. */
  static constexpr Duration kReplicationPollTimeout =
      std::chrono::milliseconds(500);
  /** Time without any call after which a client's connections are closed. */
  static constexpr Duration kClientIdleTimeout = std::chrono::seconds(3);
  /** Time between a failed replication call and the next. */
  static constexpr Duration kReplicationRetryInterval =
      std::chrono::milliseconds(20);

  /** @param executor  runs the model's steps
      @param settings  slots, timing and limits
      @param fetch     calls other endpoints; its completion runs on the
                       executor
  */
  EndpointModel(E& executor, EndpointSettings settings, Fetch fetch)
      : executor_(executor),
        settings_(std::move(settings)),
        fetch_(std::move(fetch)),
        database_(static_cast<size_t>(settings_.connections)) {
    faults_.lag = std::chrono::milliseconds(settings_.lag_ms);
    CloseIdleClients();
  }

  /** Handles a call.

      @param call       the call
      @param responder  receives the answer
  */
  void Accept(EndpointCall call, EndpointResponder responder) {
    if (faults_.is_cut) {
      unanswered_responders_.push_back(std::move(responder));
      return;
    }
    last_call_times_[call.client] = executor_.Now();
    if (TakesSlot(call.verb)) {
      ++statement_count_;
      queue_.push_back({std::move(call), std::move(responder)});
      StartQueuedStatements();
    } else if (call.verb == EndpointVerb::kConnect) {
      executor_.After(std::chrono::milliseconds(settings_.connect_ms),
                      [this, call, responder] {
                        Answer(call, database_.Handle(call), responder);
                      });
    } else if (call.verb == EndpointVerb::kWatch) {
      HoldWatch(std::move(call), std::move(responder));
    } else if (call.verb == EndpointVerb::kReplicate) {
      ServeReplication(std::move(call), std::move(responder));
    } else {
      Answer(call, database_.Handle(call), responder);
      HandleStateChange();
    }
  }

  /** @returns the current faults */
  const EndpointFaults& GetFaults() const { return faults_; }

  /** Sets the faults. The calls that a cut left unanswered are dropped when it
      ends. @param faults  the new faults */
  void SetFaults(const EndpointFaults& faults) {
    faults_ = faults;
    database_.SetLeaving(faults_.is_leaving);
    if (!faults_.is_cut) {
      for (const EndpointResponder& it :
           std::exchange(unanswered_responders_, {})) {
        it.drop();
      }
    }
    HandleStateChange();
  }

  /** Starts from the database of an earlier process of this endpoint, whose
      connections and primary role are lost.

      @param kept  database of the earlier process
  */
  void Restore(const Database& kept) {
    database_ = kept;
    database_.Restart();
  }

  /** @returns the number of statements that have arrived */
  uint64_t CountStatements() const { return statement_count_; }

  /** @returns the database, for the checks of tests */
  const Database& GetDatabase() const { return database_; }

 private:
  struct Pending {
    EndpointCall call;
    EndpointResponder responder;
  };
  struct Watcher {
    EndpointCall call;
    EndpointResponder responder;
    uint64_t id = 0;
  };

  void CloseIdleClients() {
    for (auto it = last_call_times_.begin(); it != last_call_times_.end();) {
      if (executor_.Now() - it->second >= kClientIdleTimeout) {
        database_.CloseClientConnections(it->first);
        it = last_call_times_.erase(it);
      } else {
        ++it;
      }
    }
    executor_.After(kClientIdleTimeout / 3, [this] { CloseIdleClients(); });
  }

  void StartQueuedStatements() {
    while (running_count_ < settings_.slots && !queue_.empty()) {
      Pending next = std::move(queue_.front());
      queue_.pop_front();
      ++running_count_;
      const Duration run_time = GetRunTime(next.call);
      executor_.After(run_time,
                      [this, next = std::move(next)] { FinishRunning(next); });
    }
  }

  void FinishRunning(const Pending& running) {
    --running_count_;
    Answer(running.call, database_.Handle(running.call), running.responder);
    StartQueuedStatements();
    HandleStateChange();
  }

  void HoldWatch(EndpointCall call, EndpointResponder responder) {
    const EndpointReport report = database_.GetReport();
    const bool has_changed =
        report.last != call.after || report.term != call.term;
    if (has_changed || call.wait == Duration::zero()) {
      Answer(call, database_.Handle(call), responder);
      return;
    }
    const uint64_t id = next_watcher_id_++;
    const Duration wait = call.wait;
    watchers_.push_back({std::move(call), std::move(responder), id});
    executor_.After(wait, [this, id] {
      const auto it =
          std::find_if(watchers_.begin(), watchers_.end(),
                       [id](const Watcher& w) { return w.id == id; });
      if (it != watchers_.end()) {
        const Watcher watcher = std::move(*it);
        watchers_.erase(it);
        Answer(watcher.call, database_.Handle(watcher.call), watcher.responder);
      }
    });
  }

  void ServeReplication(EndpointCall call, EndpointResponder responder) {
    if (faults_.is_replication_cut) {
      unanswered_responders_.push_back(std::move(responder));
      return;
    }
    EndpointAnswer answer = database_.Handle(call);
    if (answer.ec || !answer.records.empty()) {
      Answer(call, std::move(answer), responder);
      return;
    }
    call.wait = kReplicationPollTimeout;
    HoldWatch(std::move(call), std::move(responder));
  }

  void HandleStateChange() {
    if (!std::exchange(is_watch_reply_pending_, true)) {
      executor_.Post([this] {
        is_watch_reply_pending_ = false;
        for (const Watcher& it : std::exchange(watchers_, {})) {
          Answer(it.call, database_.Handle(it.call), it.responder);
        }
      });
    }
    RequestReplication();
  }

  void Answer(const EndpointCall& call,
              EndpointAnswer answer,
              const EndpointResponder& responder) {
    if (faults_.is_cut) {
      unanswered_responders_.push_back(responder);
      return;
    }
    const bool has_effect =
        call.verb == EndpointVerb::kWrite || call.verb == EndpointVerb::kCommit;
    if (has_effect && !answer.ec && faults_.answers_to_lose > 0) {
      --faults_.answers_to_lose;
      responder.drop();
      return;
    }
    if (TakesSlot(call.verb) && faults_.answers_to_swap > 0) {
      --faults_.answers_to_swap;
      SwapAnswers(std::move(answer), responder);
      return;
    }
    Duration delay = faults_.latency;
    if (TakesSlot(call.verb) && faults_.answers_to_delay > 0) {
      --faults_.answers_to_delay;
      delay += faults_.answer_delay;
    }
    if (delay == Duration::zero()) {
      responder.send(std::move(answer));
      return;
    }
    executor_.After(delay, [responder, answer = std::move(answer)] {
      responder.send(answer);
    });
  }

  /** Holds back an answer until the next one, then sends each to the other's
      caller. */
  void SwapAnswers(EndpointAnswer answer, const EndpointResponder& responder) {
    if (!answer_to_swap_) {
      answer_to_swap_.emplace(std::move(answer), responder);
      return;
    }
    const auto [other_answer, other_responder] =
        *std::exchange(answer_to_swap_, std::nullopt);
    responder.send(other_answer);
    other_responder.send(std::move(answer));
  }

  void RequestReplication() {
    const auto call = database_.MakeReplicateCall();
    if (is_replication_call_pending_ || !call) {
      return;
    }
    is_replication_call_pending_ = true;
    if (faults_.is_cut || faults_.is_replication_cut) {
      HandleReplicationAnswer(*call, std::nullopt);
      return;
    }
    fetch_(database_.GetPrimaryAddress(), *call,
           [this, call = *call](const std::optional<EndpointAnswer>& answer) {
             executor_.After(faults_.lag, [this, call, answer] {
               HandleReplicationAnswer(call, answer);
             });
           });
  }

  void HandleReplicationAnswer(const EndpointCall& call,
                               const std::optional<EndpointAnswer>& answer) {
    const bool has_answer =
        answer && !faults_.is_cut && !faults_.is_replication_cut;
    if (!has_answer || (answer->ec && answer->ec != Error::kDiverged)) {
      executor_.After(kReplicationRetryInterval, [this] {
        is_replication_call_pending_ = false;
        RequestReplication();
      });
      return;
    }
    is_replication_call_pending_ = false;
    database_.ApplyReplicationAnswer(call, *answer);
    HandleStateChange();
  }

  Duration GetRunTime(const EndpointCall& call) const {
    const auto statement = ParseStatement(call.statement);
    if (statement && statement->work) {
      return *statement->work;
    }
    return std::chrono::microseconds(settings_.run_us);
  }

  E& executor_;
  const EndpointSettings settings_;
  const Fetch fetch_;
  Database database_;
  EndpointFaults faults_;
  std::map<std::string, TimePoint> last_call_times_;
  std::deque<Pending> queue_;
  int64_t running_count_ = 0;
  std::list<Watcher> watchers_;
  std::vector<EndpointResponder> unanswered_responders_;
  std::optional<std::pair<EndpointAnswer, EndpointResponder>> answer_to_swap_;
  uint64_t statement_count_ = 0;
  uint64_t next_watcher_id_ = 1;
  bool is_replication_call_pending_ = false;
  bool is_watch_reply_pending_ = false;
};

}  // namespace magnoliareel::standin

#endif  // MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_MODEL_H_
