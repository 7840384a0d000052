#ifndef MAGNOLIAREEL_TESTS_TRAFFIC_TRAFFIC_CALLER_H_
#define MAGNOLIAREEL_TESTS_TRAFFIC_TRAFFIC_CALLER_H_

#include <array>
#include <concepts>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tests/traffic/traffic_history.h"

namespace magnoliareel {

/** Error codes which guarantee that the statement had no effect. */
inline constexpr std::array<std::string_view, 6> kNoEffectErrors = {
    "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"};

/** Provides the clock, timers and sessions that a TrafficCaller uses. */
template <class W>
concept CallerTransport = requires(W& transport,
                                   size_t vm,
                                   uint64_t session,
                                   const std::string& line,
                                   Duration pause,
                                   std::function<void()> task) {
  { transport.Now() } -> std::convertible_to<TimePoint>;
  /** Calls a function once after a delay. */
  transport.After(pause, task);
  /** Opens a session and returns its number, which is not used again. */
  { transport.OpenCaller(vm) } -> std::same_as<uint64_t>;
  /** Sends a line, given without its line end. */
  transport.Send(vm, session, line);
};

/** A caller that runs random operations one after another on its session and
    records the answers.

    @tparam W  connects it to the nodes; see CallerTransport
*/
template <CallerTransport W>
class TrafficCaller {
 public:
  /** @param transport  connects it to the nodes; outlives it
      @param history    receives the finished operations; outlives it
      @param vm         the VM to connect to
      @param database   the database named when a session opens
      @param seed       seed of its random choices
  */
  TrafficCaller(W& transport,
                std::vector<CallerOperation>& history,
                size_t vm,
                std::string database,
                uint64_t seed);

  /** Opens a session and runs operations until Stop(). Opens a new session when
      the old one ends. */
  void Start();
  /** Begins no further operation. */
  void Stop() { is_stopped_ = true; }
  /** Handles a line from the node; an empty line ends the session. */
  void HandleLine(std::string_view line);
  /** @returns the current session */
  uint64_t GetSession() const { return session_; }
  size_t GetVm() const { return vm_; }
  /** @returns the number of successful operations since the last call */
  int TakeSuccessCount() { return std::exchange(success_count_, 0); }
  /** @returns the same number, without resetting it */
  int GetSuccessCount() const { return success_count_; }

 private:
  void BeginOperation();
  void SendNextStatement();
  void FinishOperation(bool succeeded);
  void RunAfter(Duration pause, std::function<void()> task);
  std::string GenerateStatement(CallerStatement& statement, bool may_write);

  W& transport_;
  std::vector<CallerOperation>& history_;
  const size_t vm_;
  const std::string database_;
  std::mt19937_64 random_;
  uint64_t session_ = 0;
  /** Counts sessions, so that timers of an earlier session are ignored. */
  uint64_t session_generation_ = 0;
  bool is_open_ = false;
  bool is_stopped_ = false;
  std::map<std::string, std::string> values_;
  std::map<std::string, bool> prepared_;
  CallerOperation operation_;
  /** Steps of the operation that are still to be sent. */
  std::deque<std::string> steps_;
  /** The step that waits for its answer; "run" if a database runs it. */
  std::string pending_step_;
  bool has_failed_ = false;
  bool guarantees_no_effect_ = false;
  std::string proof_;
  int success_count_ = 0;
  int last_id_ = 0;
};

template <CallerTransport W>
TrafficCaller<W>::TrafficCaller(W& transport,
                                std::vector<CallerOperation>& history,
                                size_t vm,
                                std::string database,
                                uint64_t seed)
    : transport_(transport),
      history_(history),
      vm_(vm),
      database_(std::move(database)),
      random_(seed) {}

template <CallerTransport W>
void TrafficCaller<W>::RunAfter(Duration pause, std::function<void()> task) {
  transport_.After(
      pause, [this, generation = session_generation_, task = std::move(task)] {
        if (generation == session_generation_) {
          task();
        }
      });
}

template <CallerTransport W>
void TrafficCaller<W>::Start() {
  ++session_generation_;
  is_open_ = false;
  values_.clear();
  prepared_.clear();
  session_ = transport_.OpenCaller(vm_);
  transport_.Send(vm_, session_, "STARTUP " + database_ + " caller");
}

template <CallerTransport W>
void TrafficCaller<W>::BeginOperation() {
  if (is_stopped_) {
    return;
  }
  operation_ = {};
  operation_.session = session_;
  operation_.database = database_;
  operation_.began_at = transport_.Now();
  steps_.clear();
  has_failed_ = false;
  const bool reads_only = database_ == "lookups";
  const uint64_t choice = random_() % 10;
  if (choice == 0) {
    steps_ = {"SET"};
  } else if (choice == 1) {
    steps_ = {"PREPARE", "EXECUTE"};
  } else if (choice < 5) {
    operation_.in_transaction = true;
    const bool is_read_only = reads_only || random_() % 4 == 0;
    steps_.push_back(is_read_only ? "BEGIN READ" : "BEGIN");
    for (uint64_t n = 1 + random_() % 4; n > 0; --n) {
      steps_.push_back(is_read_only ? "READ" : "ANY");
    }
    steps_.push_back(random_() % 6 == 0 ? "ROLLBACK" : "COMMIT");
  } else {
    steps_ = {reads_only ? "READ" : "ANY"};
  }
  SendNextStatement();
}

template <CallerTransport W>
std::string TrafficCaller<W>::GenerateStatement(CallerStatement& statement,
                                                bool may_write) {
  const std::string item = "item" + std::to_string(random_() % 7);
  statement.writes = may_write && random_() % 3 == 0;
  if (!statement.writes) {
    return "READ " + item;
  }
  return "WRITE " + item + " " + std::to_string(random_() % 1000);
}

template <CallerTransport W>
void TrafficCaller<W>::SendNextStatement() {
  if (steps_.empty()) {
    FinishOperation(!has_failed_);
    return;
  }
  const std::string step = steps_.front();
  steps_.pop_front();
  CallerStatement statement;
  statement.id = std::to_string(session_) + "-" + std::to_string(++last_id_);
  statement.sent_at = transport_.Now();
  statement.values = values_;
  std::string text = step;
  pending_step_ = step;
  if (step == "SET") {
    const std::string name = "v" + std::to_string(random_() % 3);
    const std::string value = std::to_string(random_() % 5);
    text = "SET " + name + " " + value;
    values_[name] = value;
  } else if (step == "PREPARE") {
    const bool writes = database_ != "lookups" && random_() % 2 == 0;
    const std::string name = "s" + std::to_string(random_() % 2);
    prepared_[name] = writes;
    text = "PREPARE " + name + (writes ? " WRITE" : " READ") + " shape" +
           std::to_string(random_() % 3);
  } else if (step == "EXECUTE") {
    const auto& [name, writes] = *prepared_.begin();
    statement.prepared = true;
    statement.writes = writes;
    text = "EXECUTE " + name + " item" + std::to_string(random_() % 7);
    if (writes) {
      text += " " + std::to_string(random_() % 1000);
    }
  } else if (step == "READ" || step == "ANY") {
    text = GenerateStatement(statement, step == "ANY");
  } else if (step == "COMMIT") {
    statement.commits = true;
  }
  statement.text = text;
  const bool forwarded = statement.commits || statement.prepared ||
                         step == "READ" || step == "ANY";
  if (forwarded) {
    pending_step_ = "run";
    operation_.statements.push_back(statement);
  }
  transport_.Send(vm_, session_, "QUERY " + statement.id + " " + text);
}

template <CallerTransport W>
void TrafficCaller<W>::HandleLine(std::string_view line) {
  if (line.empty()) {
    // The session has ended; a statement in progress stays unanswered.
    FinishOperation(false);
    RunAfter(std::chrono::milliseconds(20), [this] {
      if (!is_stopped_) {
        Start();
      }
    });
    return;
  }
  if (!is_open_) {
    is_open_ = line.substr(0, 5) == "READY";
    if (is_open_) {
      RunAfter(Duration(1000), [this] { BeginOperation(); });
    }
    return;
  }
  if (line.substr(0, 8) == "COMPLETE") {
    proof_ = line.substr(9);
    guarantees_no_effect_ = false;
    has_failed_ = false;
    return;
  }
  if (line.substr(0, 5) == "ERROR") {
    has_failed_ = true;
    guarantees_no_effect_ = false;
    for (const std::string_view it : kNoEffectErrors) {
      guarantees_no_effect_ =
          guarantees_no_effect_ || line.substr(6, it.size()) == it;
    }
    return;
  }
  if (line.substr(0, 5) != "READY") {
    return;
  }
  if (pending_step_ == "run") {
    CallerStatement& statement = operation_.statements.back();
    statement.answered = true;
    statement.succeeded = !has_failed_;
    statement.guaranteed_no_effect = has_failed_ && guarantees_no_effect_;
    statement.proof = proof_;
    statement.answered_at = transport_.Now();
  }
  if (has_failed_) {
    const bool is_idle = line.substr(6, 1) == "I";
    steps_.clear();
    if (!is_idle) {
      steps_.push_back("ROLLBACK");
    }
    has_failed_ = false;
    if (is_idle) {
      FinishOperation(false);
      return;
    }
  }
  const Duration pause(static_cast<int64_t>(random_() % 8000));
  RunAfter(pause, [this] { SendNextStatement(); });
}

template <CallerTransport W>
void TrafficCaller<W>::FinishOperation(bool succeeded) {
  if (!operation_.statements.empty()) {
    const CallerStatement& last = operation_.statements.back();
    if (succeeded && last.succeeded) {
      ++success_count_;
    }
    history_.push_back(std::move(operation_));
  }
  operation_ = {};
  if (is_open_ && !is_stopped_) {
    RunAfter(Duration(static_cast<int64_t>(2000 + random_() % 20000)),
             [this] { BeginOperation(); });
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_TRAFFIC_TRAFFIC_CALLER_H_
