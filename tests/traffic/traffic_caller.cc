#include "tests/traffic/traffic_caller.h"

#include <array>
#include <utility>

namespace magnoliareel {
namespace {

constexpr std::array<std::string_view, 6> kPromises = {
    "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"};

}  // namespace

TrafficCaller::TrafficCaller(TrafficWorld& world,
                             std::vector<CallerOperation>& history,
                             size_t vm,
                             std::string database,
                             uint64_t seed)
    : world_(world),
      history_(history),
      vm_(vm),
      database_(std::move(database)),
      random_(seed) {}

void TrafficCaller::Later(Duration pause, std::function<void()> task) {
  world_.GetQueue().After(pause,
                          [this, round = round_, task = std::move(task)] {
                            if (round == round_) {
                              task();
                            }
                          });
}

void TrafficCaller::Start() {
  ++round_;
  open_ = false;
  values_.clear();
  prepared_.clear();
  session_ = world_.OpenCaller(vm_);
  world_.Send(vm_, session_, "STARTUP " + database_ + " caller");
}

void TrafficCaller::BeginOperation() {
  if (stopped_) {
    return;
  }
  operation_ = {};
  operation_.session = session_;
  operation_.database = database_;
  operation_.began_at = world_.GetQueue().Now();
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

std::string TrafficCaller::MakeStatement(CallerStatement& statement,
                                         bool may_write) {
  const std::string item = "item" + std::to_string(random_() % 7);
  statement.writes = may_write && random_() % 3 == 0;
  if (!statement.writes) {
    return "READ " + item;
  }
  return "WRITE " + item + " " + std::to_string(random_() % 1000);
}

void TrafficCaller::SendNext() {
  if (plan_.empty()) {
    EndOperation(!failed_);
    return;
  }
  const std::string step = plan_.front();
  plan_.pop_front();
  CallerStatement statement;
  statement.id = std::to_string(session_) + "-" + std::to_string(++next_id_);
  statement.sent_at = world_.GetQueue().Now();
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

void TrafficCaller::Receive(std::string_view line) {
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
    for (const std::string_view it : kPromises) {
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
    statement.answered_at = world_.GetQueue().Now();
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

void TrafficCaller::EndOperation(bool succeeded) {
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
