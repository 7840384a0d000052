#include "tests/simulation/sim_caller.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

#include "routing/routing.h"

namespace magnoliareel::sim {
namespace {

constexpr int kRecordCount = 6;
constexpr Duration kNetworkGracePeriod = std::chrono::milliseconds(300);
constexpr Duration kOperationDelay = std::chrono::milliseconds(20);
constexpr Duration kSettleRetryInterval = std::chrono::milliseconds(200);

std::string MakeAppend(const Addition& addition) {
  return "append " + addition.record + " " + addition.value;
}

}  // namespace

std::vector<std::string> ListRecords() {
  std::vector<std::string> records;
  for (int n = 0; n < kRecordCount; ++n) {
    records.push_back("record-" + std::to_string(n));
  }
  return records;
}

SimCaller::SimCaller(SimCluster& cluster,
                     int number,
                     std::vector<Operation>& history)
    : cluster_(cluster),
      node_(cluster.GetExecutor(), "caller-" + std::to_string(number)),
      name_("c" + std::to_string(number)),
      history_(history) {}

void SimCaller::Start() {
  CallerRequest request =
      MakeRequest(CallerVerb::kOpenSession, name_ + "-open");
  request.service.value = "logs";
  SendRequest(std::move(request),
              [this](const std::optional<CallerAnswer>& answer) {
                if (!answer || answer->outcome != Outcome::kDone) {
                  node_.After(kOperationDelay, [this] { Start(); });
                  return;
                }
                ++session_count_;
                StartNextOperation();
              });
}

void SimCaller::SendRequest(CallerRequest request, AnswerCompletion done) {
  const auto vms = cluster_.ListVms();
  SimEntry& entry = cluster_.GetEntry(vms[cluster_.GetRandom()() % vms.size()]);
  const Duration timeout = request.deadline + kNetworkGracePeriod;
  cluster_.GetNetwork().Call<CallerAnswer>(
      node_, entry.node,
      [&entry, request = std::move(request)](
          const std::function<void(CallerAnswer)>& answer) {
        entry.service.Serve(request, answer);
      },
      timeout,
      [this, done = std::move(done)](std::error_code ec, CallerAnswer answer) {
        if (ec) {
          done(std::nullopt);
          return;
        }
        if (!answer.token.empty()) {
          token_ = answer.token;
        }
        done(std::move(answer));
      });
}

void SimCaller::StartNextOperation() {
  if (is_stopped_) {
    is_idle_ = true;
    return;
  }
  node_.After(Duration(cluster_.GetRandom()() % kOperationDelay.count()),
              [this] {
                const auto choice = cluster_.GetRandom()() % 10;
                if (choice < 4) {
                  StartWrite();
                } else if (choice < 8) {
                  StartRead();
                } else {
                  BeginTransaction();
                }
              });
}

void SimCaller::StartWrite() {
  const std::string name = name_ + "-" + std::to_string(next_request_number_++);
  const Addition addition{ChooseRecord(), name + "v"};
  const size_t operation = AddOperation(OperationKind::kWrite, {addition});
  CallerRequest request =
      MakeRequest(CallerVerb::kWrite, history_[operation].request);
  request.record_key = addition.record;
  request.statement = MakeAppend(addition);
  request.is_idempotent = cluster_.GetRandom()() % 2 == 0;
  SendRequest(std::move(request),
              [this, operation](const std::optional<CallerAnswer>& answer) {
                HandleWriteAnswer(operation, answer);
              });
}

void SimCaller::StartRead() {
  const size_t operation =
      AddOperation(OperationKind::kRead, {{ChooseRecord(), ""}});
  CallerRequest request =
      MakeRequest(CallerVerb::kRead, history_[operation].request);
  request.record_key = history_[operation].additions.front().record;
  request.statement = "get " + request.record_key;
  if (cluster_.GetRandom()() % 3 == 0) {
    request.max_age =
        Duration(std::chrono::milliseconds(cluster_.GetRandom()() % 3000));
  }
  SendRequest(std::move(request),
              [this, operation](const std::optional<CallerAnswer>& answer) {
                if (answer) {
                  history_[operation].seen = SplitValues(answer->answer);
                }
                RecordOutcome(operation,
                              answer ? answer->outcome : Outcome::kUnknown);
                StartNextOperation();
              });
}

void SimCaller::BeginTransaction() {
  const ServiceConfig& service =
      cluster_.GetDeployment()->document.services.front();
  const std::string first = ChooseRecord();
  std::string second = ChooseRecord();
  while (&ChooseGroup(service, first) != &ChooseGroup(service, second)) {
    second = ChooseRecord();
  }
  const std::string name = name_ + "-" + std::to_string(next_request_number_++);
  const size_t operation = AddOperation(
      OperationKind::kTransaction, {{first, name + "x"}, {second, name + "y"}});
  CallerRequest request =
      MakeRequest(CallerVerb::kBegin, history_[operation].request + "-begin");
  request.record_key = first;
  SendRequest(std::move(request),
              [this, operation](const std::optional<CallerAnswer>& answer) {
                if (answer && answer->outcome == Outcome::kDone) {
                  WriteInTransaction(operation, 0);
                } else {
                  AbandonTransaction(operation);
                }
              });
}

void SimCaller::WriteInTransaction(size_t operation, size_t number) {
  const Addition addition = history_[operation].additions[number];
  CallerRequest request =
      MakeRequest(CallerVerb::kWrite,
                  history_[operation].request + "-" + std::to_string(number));
  request.statement = MakeAppend(addition);
  SendRequest(
      std::move(request),
      [this, operation, number](const std::optional<CallerAnswer>& answer) {
        if (!answer || answer->outcome != Outcome::kDone) {
          AbandonTransaction(operation);
        } else if (number + 1 < history_[operation].additions.size()) {
          WriteInTransaction(operation, number + 1);
        } else if (cluster_.GetRandom()() % 5 == 0) {
          AbandonTransaction(operation);
        } else {
          Commit(operation);
        }
      });
}

void SimCaller::Commit(size_t operation) {
  history_[operation].commit_began = GetNowMicros();
  SendRequest(MakeRequest(CallerVerb::kCommit, history_[operation].request),
              [this, operation](const std::optional<CallerAnswer>& answer) {
                HandleWriteAnswer(operation, answer);
              });
}

/** Rolls a transaction back. No commit was sent, so none of its writes may ever
    become visible. */
void SimCaller::AbandonTransaction(size_t operation) {
  RecordOutcome(operation, Outcome::kNotRun);
  SendRequest(MakeRequest(CallerVerb::kRollback,
                          history_[operation].request + "-rollback"),
              [this](const std::optional<CallerAnswer>& answer) {
                const bool is_over =
                    answer && (answer->outcome == Outcome::kDone ||
                               answer->ec == Error::kTransactionLost ||
                               answer->ec == Error::kNoTransaction);
                if (!is_over) {
                  // The transaction may still be open; a new session leaves it
                  // behind.
                  Start();
                  return;
                }
                StartNextOperation();
              });
}

void SimCaller::HandleWriteAnswer(size_t operation,
                                  const std::optional<CallerAnswer>& answer) {
  const Outcome outcome = answer ? answer->outcome : Outcome::kUnknown;
  RecordOutcome(operation, outcome);
  if (outcome == Outcome::kUnknown) {
    SettleOutcome(operation);
    return;
  }
  StartNextOperation();
}

void SimCaller::SettleOutcome(size_t operation) {
  CallerRequest request =
      MakeRequest(CallerVerb::kSettle, history_[operation].request);
  request.record_key = history_[operation].additions.front().record;
  SendRequest(std::move(request),
              [this, operation](const std::optional<CallerAnswer>& answer) {
                if (!answer || answer->outcome == Outcome::kUnknown) {
                  node_.After(kSettleRetryInterval,
                              [this, operation] { SettleOutcome(operation); });
                  return;
                }
                RecordOutcome(operation, answer->outcome);
                if (history_[operation].kind == OperationKind::kTransaction) {
                  // The session's token may still refer to the transaction.
                  Start();
                  return;
                }
                StartNextOperation();
              });
}

size_t SimCaller::AddOperation(OperationKind kind,
                               std::vector<Addition> additions) {
  Operation operation;
  operation.request = name_ + "-" + std::to_string(next_request_number_++);
  operation.session = name_ + "-session-" + std::to_string(session_count_);
  operation.kind = kind;
  operation.additions = std::move(additions);
  operation.began = GetNowMicros();
  history_.push_back(std::move(operation));
  return history_.size() - 1;
}

void SimCaller::RecordOutcome(size_t operation, Outcome outcome) {
  Operation& it = history_[operation];
  it.outcome = outcome;
  it.ended = GetNowMicros();
  if (std::getenv("MAGNOLIAREEL_SIM_TRACE") != nullptr) {
    std::printf("%8ld us %s %s: %s\n", it.ended, it.request.c_str(),
                it.additions.front().record.c_str(),
                std::string(GetOutcomeName(outcome)).c_str());
  }
}

std::string SimCaller::ChooseRecord() {
  return "record-" + std::to_string(cluster_.GetRandom()() % kRecordCount);
}

CallerRequest SimCaller::MakeRequest(CallerVerb verb, const std::string& name) {
  CallerRequest request;
  request.verb = verb;
  request.caller.value = "crew";
  request.key = "key";
  request.request.value = name;
  request.token = token_;
  request.deadline =
      std::chrono::milliseconds(500 + cluster_.GetRandom()() % 2000);
  return request;
}

int64_t SimCaller::GetNowMicros() const {
  return cluster_.Now().time_since_epoch().count();
}

}  // namespace magnoliareel::sim
