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

/** Error codes that promise that nothing is kept. */
inline constexpr std::array<std::string_view, 6> kNoEffectErrors = {
    "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"};

/** Where callers live: a clock, and sessions at nodes. */
template <class W>
concept CallerTransport = requires(W& world,
                                   size_t vm,
                                   uint64_t session,
                                   const std::string& line,
                                   Duration pause,
                                   std::function<void()> task) {
  { world.Now() } -> std::convertible_to<TimePoint>;
  /** Calls a function once, later. */
  world.After(pause, task);
  /** Opens a session; its number is not used again. */
  { world.OpenCaller(vm) } -> std::same_as<uint64_t>;
  /** Sends a line, without its end. */
  world.Send(vm, session, line);
};

/** A caller that runs one random operation after the other on its session and
    records what it sees.

    @tparam W  @see CallerTransport
*/
template <CallerTransport W>
class TrafficCaller {
 public:
  /** @param world     where it calls
      @param history   receives its operations
      @param vm        the VM that it connects to
      @param database  whose sessions it opens
      @param seed      of its choices
  */
  TrafficCaller(W& world,
                std::vector<CallerOperation>& history,
                size_t vm,
                std::string database,
                uint64_t seed);

  /** Connects and goes on until Stop(). */
  void Start();
  void Stop() { stopped_ = true; }
  /** Takes a line, or the end of the session if it is empty. */
  void Receive(std::string_view line);
  /** @returns its present session */
  uint64_t GetSession() const { return session_; }
  size_t GetVm() const { return vm_; }
  /** @returns operations that ended with success since the last call */
  int TakeSuccesses() { return std::exchange(successes_, 0); }
  /** @returns the same without beginning anew */
  int CountSuccesses() const { return successes_; }

 private:
  void BeginOperation();
  void SendNext();
  void EndOperation(bool succeeded);
  void Later(Duration pause, std::function<void()> task);
  std::string MakeStatement(CallerStatement& statement, bool may_write);

  W& world_;
  std::vector<CallerOperation>& history_;
  const size_t vm_;
  const std::string database_;
  std::mt19937_64 random_;
  uint64_t session_ = 0;
  uint64_t round_ = 0;
  bool open_ = false;
  bool stopped_ = false;
  std::map<std::string, std::string> values_;
  std::map<std::string, bool> prepared_;
  CallerOperation operation_;
  std::deque<std::string> plan_;
  std::string expected_;
  bool failed_ = false;
  bool promised_ = false;
  std::string proof_;
  int successes_ = 0;
  int next_id_ = 0;
};

template <CallerTransport W>
TrafficCaller<W>::TrafficCaller(W& world,
                                std::vector<CallerOperation>& history,
                                size_t vm,
                                std::string database,
                                uint64_t seed)
    : world_(world),
      history_(history),
      vm_(vm),
      database_(std::move(database)),
      random_(seed) {}

template <CallerTransport W>
void TrafficCaller<W>::Later(Duration pause, std::function<void()> task) {
  world_.After(pause, [this, round = round_, task = std::move(task)] {
    if (round == round_) {
      task();
    }
  });
}

template <CallerTransport W>
void TrafficCaller<W>::Start() {
  ++round_;
  open_ = false;
  values_.clear();
  prepared_.clear();
  session_ = world_.OpenCaller(vm_);
  world_.Send(vm_, session_, "STARTUP " + database_ + " caller");
}

template <CallerTransport W>
void TrafficCaller<W>::BeginOperation() {
  if (stopped_) {
    return;
  }
  operation_ = {};
  operation_.session = session_;
  operation_.database = database_;
  operation_.began_at = world_.Now();
  plan_.clear();
  failed_ = false;
  const bool reads_only = database_ == "lookups";
  const uint64_t dice = random_() % 10;
  if (dice == 0) {
    plan_ = {"SET"};
  } else if (dice == 1) {
    plan_ = {"PREPARE", "EXECUTE"};
  } else if (dice < 5) {
    operation_.in_transaction = true;
    const bool begins_read = reads_only || random_() % 4 == 0;
    plan_.push_back(begins_read ? "BEGIN READ" : "BEGIN");
    for (uint64_t n = 1 + random_() % 4; n > 0; --n) {
      plan_.push_back(begins_read ? "READ" : "ANY");
    }
    plan_.push_back(random_() % 6 == 0 ? "ROLLBACK" : "COMMIT");
  } else {
    plan_ = {reads_only ? "READ" : "ANY"};
  }
  SendNext();
}

template <CallerTransport W>
std::string TrafficCaller<W>::MakeStatement(CallerStatement& statement,
                                            bool may_write) {
  const std::string item = "item" + std::to_string(random_() % 7);
  statement.writes = may_write && random_() % 3 == 0;
  if (!statement.writes) {
    return "READ " + item;
  }
  return "WRITE " + item + " " + std::to_string(random_() % 1000);
}

template <CallerTransport W>
void TrafficCaller<W>::SendNext() {
  if (plan_.empty()) {
    EndOperation(!failed_);
    return;
  }
  const std::string step = plan_.front();
  plan_.pop_front();
  CallerStatement statement;
  statement.id = std::to_string(session_) + "-" + std::to_string(++next_id_);
  statement.sent_at = world_.Now();
  statement.values = values_;
  std::string text = step;
  expected_ = step;
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
    text = MakeStatement(statement, step == "ANY");
  } else if (step == "COMMIT") {
    statement.commits = true;
  }
  statement.text = text;
  const bool forwarded = statement.commits || statement.prepared ||
                         step == "READ" || step == "ANY";
  if (forwarded) {
    expected_ = "run";
    operation_.statements.push_back(statement);
  }
  world_.Send(vm_, session_, "QUERY " + statement.id + " " + text);
}

template <CallerTransport W>
void TrafficCaller<W>::Receive(std::string_view line) {
  if (line.empty()) {
    // The session is gone: an open question stays without an answer.
    EndOperation(false);
    Later(std::chrono::milliseconds(20), [this] {
      if (!stopped_) {
        Start();
      }
    });
    return;
  }
  if (!open_) {
    open_ = line.substr(0, 5) == "READY";
    if (open_) {
      Later(Duration(1000), [this] { BeginOperation(); });
    }
    return;
  }
  if (line.substr(0, 8) == "COMPLETE") {
    proof_ = line.substr(9);
    promised_ = false;
    failed_ = false;
    return;
  }
  if (line.substr(0, 5) == "ERROR") {
    failed_ = true;
    promised_ = false;
    for (const std::string_view it : kNoEffectErrors) {
      promised_ = promised_ || line.substr(6, it.size()) == it;
    }
    return;
  }
  if (line.substr(0, 5) != "READY") {
    return;
  }
  if (expected_ == "run") {
    CallerStatement& statement = operation_.statements.back();
    statement.answered = true;
    statement.succeeded = !failed_;
    statement.promised = failed_ && promised_;
    statement.proof = proof_;
    statement.answered_at = world_.Now();
  }
  if (failed_) {
    const bool ends = line.substr(6, 1) == "I";
    plan_.clear();
    if (!ends) {
      plan_.push_back("ROLLBACK");
    }
    failed_ = false;
    if (ends) {
      EndOperation(false);
      return;
    }
  }
  const Duration pause(static_cast<int64_t>(random_() % 8000));
  Later(pause, [this] { SendNext(); });
}

template <CallerTransport W>
void TrafficCaller<W>::EndOperation(bool succeeded) {
  if (!operation_.statements.empty()) {
    const CallerStatement& last = operation_.statements.back();
    if (succeeded && last.succeeded) {
      ++successes_;
    }
    history_.push_back(std::move(operation_));
  }
  operation_ = {};
  if (open_ && !stopped_) {
    Later(Duration(static_cast<int64_t>(2000 + random_() % 20000)),
          [this] { BeginOperation(); });
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_TRAFFIC_TRAFFIC_CALLER_H_
