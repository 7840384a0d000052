#include "tests/simulation/sim_caller.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

#include "routing/routing.h"

namespace magnoliareel::sim {
namespace {

constexpr int kRecords = 6;
constexpr Duration kNetworkGrace = std::chrono::milliseconds(300);
constexpr Duration kPause = std::chrono::milliseconds(20);
constexpr Duration kSettlePause = std::chrono::milliseconds(200);

std::string MakeAppend(const Addition& addition) {
  return "append " + addition.record + " " + addition.value;
}

}  // namespace

std::vector<std::string> ListRecords() {
  std::vector<std::string> records;
  for (int n = 0; n < kRecords; ++n) {
    records.push_back("record-" + std::to_string(n));
  }
  return records;
}

SimCaller::SimCaller(SimCluster& cluster,
                     int number,
                     std::vector<Operation>& history)
    : cluster_(cluster),
      node_(cluster.GetWorld(), "caller-" + std::to_string(number)),
      name_("c" + std::to_string(number)),
      history_(history) {}

void SimCaller::Start() {
  CallerRequest request =
      MakeRequest(CallerVerb::kOpenSession, name_ + "-open");
  request.service.value = "logs";
  Ask(std::move(request), [this](const std::optional<CallerAnswer>& answer) {
    if (!answer || answer->outcome != Outcome::kDone) {
      node_.After(kPause, [this] { Start(); });
      return;
    }
    ++sessions_;
    GoOn();
  });
}

void SimCaller::Ask(CallerRequest request, Next next) {
  const auto vms = cluster_.ListVms();
  SimEntry& entry = cluster_.GetEntry(vms[cluster_.GetRandom()() % vms.size()]);
  const Duration timeout = request.deadline + kNetworkGrace;
  cluster_.GetNetwork().Call<CallerAnswer>(
      node_, entry.node,
      [&entry, request = std::move(request)](
          const std::function<void(CallerAnswer)>& answer) {
        entry.service.Serve(request, answer);
      },
      timeout,
      [this, next = std::move(next)](std::error_code ec, CallerAnswer answer) {
        if (ec) {
          next(std::nullopt);
          return;
        }
        if (!answer.token.empty()) {
          token_ = answer.token;
        }
        next(std::move(answer));
      });
}

void SimCaller::GoOn() {
  if (is_stopped_) {
    is_idle_ = true;
    return;
  }
  node_.After(Duration(cluster_.GetRandom()() % kPause.count()), [this] {
    const auto choice = cluster_.GetRandom()() % 10;
    if (choice < 4) {
      Write();
    } else if (choice < 8) {
      Read();
    } else {
      BeginTransaction();
    }
  });
}

void SimCaller::Write() {
  const std::string name = name_ + "-" + std::to_string(next_++);
  const Addition addition{ChooseRecord(), name + "v"};
  const size_t operation = AddOperation(OperationKind::kWrite, {addition});
  CallerRequest request =
      MakeRequest(CallerVerb::kWrite, history_[operation].request);
  request.record_key = addition.record;
  request.statement = MakeAppend(addition);
  request.is_idempotent = cluster_.GetRandom()() % 2 == 0;
  Ask(std::move(request),
      [this, operation](const std::optional<CallerAnswer>& answer) {
        NoteEffect(operation, answer);
      });
}

void SimCaller::Read() {
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
  Ask(std::move(request),
      [this, operation](const std::optional<CallerAnswer>& answer) {
        if (answer) {
          history_[operation].seen = SplitValues(answer->answer);
        }
        Finish(operation, answer ? answer->outcome : Outcome::kUnknown);
        GoOn();
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
  const std::string name = name_ + "-" + std::to_string(next_++);
  const size_t operation = AddOperation(
      OperationKind::kTransaction, {{first, name + "x"}, {second, name + "y"}});
  CallerRequest request =
      MakeRequest(CallerVerb::kBegin, history_[operation].request + "-begin");
  request.record_key = first;
  Ask(std::move(request),
      [this, operation](const std::optional<CallerAnswer>& answer) {
        if (answer && answer->outcome == Outcome::kDone) {
          AddInTransaction(operation, 0);
        } else {
          GiveUpTransaction(operation);
        }
      });
}

void SimCaller::AddInTransaction(size_t operation, size_t number) {
  const Addition addition = history_[operation].additions[number];
  CallerRequest request =
      MakeRequest(CallerVerb::kWrite,
                  history_[operation].request + "-" + std::to_string(number));
  request.statement = MakeAppend(addition);
  Ask(std::move(request),
      [this, operation, number](const std::optional<CallerAnswer>& answer) {
        if (!answer || answer->outcome != Outcome::kDone) {
          GiveUpTransaction(operation);
        } else if (number + 1 < history_[operation].additions.size()) {
          AddInTransaction(operation, number + 1);
        } else if (cluster_.GetRandom()() % 5 == 0) {
          GiveUpTransaction(operation);
        } else {
          Commit(operation);
        }
      });
}

void SimCaller::Commit(size_t operation) {
  history_[operation].commit_began = GetMicroseconds();
  Ask(MakeRequest(CallerVerb::kCommit, history_[operation].request),
      [this, operation](const std::optional<CallerAnswer>& answer) {
        NoteEffect(operation, answer);
      });
}

/** No commit was sent, so nothing of it may ever be seen. */
void SimCaller::GiveUpTransaction(size_t operation) {
  Finish(operation, Outcome::kNotRun);
  Ask(MakeRequest(CallerVerb::kRollback,
                  history_[operation].request + "-rollback"),
      [this](const std::optional<CallerAnswer>& answer) {
        const bool is_over = answer && (answer->outcome == Outcome::kDone ||
                                        answer->ec == Error::kTransactionLost ||
                                        answer->ec == Error::kNoTransaction);
        if (!is_over) {
          // A new session is simpler than a transaction in doubt.
          Start();
          return;
        }
        GoOn();
      });
}

void SimCaller::NoteEffect(size_t operation,
                           const std::optional<CallerAnswer>& answer) {
  const Outcome outcome = answer ? answer->outcome : Outcome::kUnknown;
  Finish(operation, outcome);
  if (outcome == Outcome::kUnknown) {
    Settle(operation);
    return;
  }
  GoOn();
}

void SimCaller::Settle(size_t operation) {
  CallerRequest request =
      MakeRequest(CallerVerb::kSettle, history_[operation].request);
  request.record_key = history_[operation].additions.front().record;
  Ask(std::move(request),
      [this, operation](const std::optional<CallerAnswer>& answer) {
        if (!answer || answer->outcome == Outcome::kUnknown) {
          node_.After(kSettlePause, [this, operation] { Settle(operation); });
          return;
        }
        Finish(operation, answer->outcome);
        if (history_[operation].kind == OperationKind::kTransaction) {
          // The session's token may still name the transaction.
          Start();
          return;
        }
        GoOn();
      });
}

size_t SimCaller::AddOperation(OperationKind kind,
                               std::vector<Addition> additions) {
  Operation operation;
  operation.request = name_ + "-" + std::to_string(next_++);
  operation.session = name_ + "-session-" + std::to_string(sessions_);
  operation.kind = kind;
  operation.additions = std::move(additions);
  operation.began = GetMicroseconds();
  history_.push_back(std::move(operation));
  return history_.size() - 1;
}

void SimCaller::Finish(size_t operation, Outcome outcome) {
  Operation& it = history_[operation];
  it.outcome = outcome;
  it.ended = GetMicroseconds();
  if (std::getenv("MAGNOLIAREEL_SIM_TRACE") != nullptr) {
    std::printf("%8ld us %s %s: %s\n", it.ended, it.request.c_str(),
                it.additions.front().record.c_str(),
                std::string(GetOutcomeName(outcome)).c_str());
  }
}

std::string SimCaller::ChooseRecord() {
  return "record-" + std::to_string(cluster_.GetRandom()() % kRecords);
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

int64_t SimCaller::GetMicroseconds() const {
  return cluster_.Now().time_since_epoch().count();
}

}  // namespace magnoliareel::sim
