#include "apps/load/load_run.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "codec/codec.h"

namespace magnoliareel {
namespace {

constexpr Duration kReplyGracePeriod = std::chrono::milliseconds(1000);
constexpr Duration kRetryPause = std::chrono::milliseconds(100);
constexpr Duration kProgressInterval = std::chrono::seconds(1);

CallerAnswer ParseReply(const HttpReply& reply) {
  CallerAnswer answer;
  answer.outcome = Outcome::kUnknown;
  answer.ec = reply.ec;
  if (reply.ec) {
    answer.outcome =
        reply.ec == Error::kUnreachable ? Outcome::kNotRun : Outcome::kUnknown;
    return answer;
  }
  Findings findings;
  CallerAnswer parsed = ParseCallerAnswer(reply.body, findings);
  if (!findings.IsEmpty()) {
    answer.ec = Error::kMalformedMessage;
    return answer;
  }
  return parsed;
}

}  // namespace

LoadRun::LoadRun(LoadSettings settings, ControlLoop& loop)
    : settings_(std::move(settings)),
      loop_(loop),
      plan_(settings_),
      random_(static_cast<uint64_t>(settings_.seed)) {}

void LoadRun::Start(std::function<void()> done) {
  done_ = std::move(done);
  began_ = loop_.Now();
  next_request_at_ = began_;
  ScheduleNextRequest();
  loop_.After(kProgressInterval, [this] { ReportProgress(); });
}

void LoadRun::ScheduleNextRequest() {
  // Counted from the planned moment, so that delays of this process do not thin
  // out the arrivals.
  next_request_at_ += plan_.GenerateInterarrivalTime(loop_.Now() - began_);
  const Duration wait =
      std::max(Duration::zero(), next_request_at_ - loop_.Now());
  loop_.After(wait, [this] {
    if (loop_.Now() - began_ >=
        std::chrono::milliseconds(settings_.duration_ms)) {
      is_finishing_ = true;
      FinishIfIdle();
      return;
    }
    Arrive();
    ScheduleNextRequest();
  });
}

void LoadRun::ReportProgress() {
  std::printf(
      "%3ld s: %lu arrived, %zu finished, %zu done, %zu in progress, %lu "
      "sessions\n",
      std::chrono::duration_cast<std::chrono::seconds>(loop_.Now() - began_)
          .count(),
      generated_requests_, report_.CountFinished(), report_.CountDone(),
      in_progress_, sessions_);
  std::fflush(stdout);
  if (!is_finishing_) {
    loop_.After(kProgressInterval, [this] { ReportProgress(); });
  }
}

void LoadRun::Arrive() {
  ++generated_requests_;
  ++in_progress_;
  const LoadCaller& caller = plan_.ChooseCaller();
  const auto arrival = std::make_shared<LoadRequest>(plan_.GenerateRequest());
  arrival->arrived = loop_.Now();
  AcquireSession(caller, [this, arrival](const SessionRef& session) {
    if (arrival->is_transaction) {
      RunTransaction(session, arrival);
    } else {
      RunStatement(session, arrival);
    }
  });
}

void LoadRun::AcquireSession(const LoadCaller& caller,
                             const std::function<void(SessionRef)>& use) {
  auto& idle = idle_[caller.name];
  if (idle.empty()) {
    OpenSession(caller, use);
    return;
  }
  const SessionRef session = idle.back();
  idle.pop_back();
  use(session);
}

void LoadRun::OpenSession(const LoadCaller& caller,
                          const std::function<void(SessionRef)>& use) {
  auto session = std::make_shared<Session>();
  session->caller = &caller;
  session->name = caller.name + "-" + std::to_string(++sessions_);
  CallerRequest request = MakeRequest(CallerVerb::kOpenSession, session->name);
  request.service.value = settings_.service;
  Ask(session, std::move(request),
      [this, session, use](const CallerAnswer& answer) {
        if (answer.outcome == Outcome::kDone) {
          use(session);
          return;
        }
        loop_.After(kRetryPause, [this, session, use] {
          OpenSession(*session->caller, use);
        });
      });
}

void LoadRun::RunStatement(const SessionRef& session,
                           const ArrivalRef& arrival) {
  const bool is_write = arrival->verb == CallerVerb::kWrite;
  BeginOperation(session, *arrival,
                 is_write ? OperationKind::kWrite : OperationKind::kRead);
  CallerRequest request =
      MakeRequest(arrival->verb, history_[arrival->operation].request);
  request.record_key = arrival->additions.front().record;
  request.statement = plan_.MakeStatement(*arrival, arrival->additions.front());
  if (settings_.declare_long_statements != 0) {
    request.work_class = arrival->work_class;
  }
  request.is_idempotent = is_write && static_cast<int64_t>(random_() % 1000) <
                                          settings_.idempotent_permille;
  if (!is_write && settings_.max_age_ms >= 0) {
    request.max_age = std::chrono::milliseconds(settings_.max_age_ms);
  }
  Ask(session, std::move(request),
      [this, session, arrival](const CallerAnswer& answer) {
        Finish(session, arrival, answer);
      });
}

void LoadRun::RunTransaction(const SessionRef& session,
                             const ArrivalRef& arrival) {
  BeginOperation(session, *arrival, OperationKind::kTransaction);
  CallerRequest request = MakeRequest(
      CallerVerb::kBegin, history_[arrival->operation].request + "-begin");
  request.record_key = arrival->additions.front().record;
  Ask(session, std::move(request),
      [this, session, arrival](const CallerAnswer& answer) {
        if (answer.outcome == Outcome::kDone) {
          AddInTransaction(session, arrival, 0);
        } else {
          GiveUpTransaction(session, arrival, answer);
        }
      });
}

void LoadRun::AddInTransaction(const SessionRef& session,
                               const ArrivalRef& arrival,
                               size_t number) {
  const std::string& name = history_[arrival->operation].request;
  if (number == arrival->additions.size()) {
    history_[arrival->operation].commit_began = GetMicros();
    Ask(session, MakeRequest(CallerVerb::kCommit, name),
        [this, session, arrival](const CallerAnswer& answer) {
          Finish(session, arrival, answer);
        });
    return;
  }
  CallerRequest request =
      MakeRequest(CallerVerb::kWrite, name + "-" + std::to_string(number));
  request.statement = plan_.MakeStatement(*arrival, arrival->additions[number]);
  Ask(session, std::move(request),
      [this, session, arrival, number](const CallerAnswer& answer) {
        if (answer.outcome == Outcome::kDone) {
          AddInTransaction(session, arrival, number + 1);
        } else {
          GiveUpTransaction(session, arrival, answer);
        }
      });
}

/** No commit was sent, so nothing of it may ever be seen; the session, whose
    transaction may still be open, is not used again. */
void LoadRun::GiveUpTransaction(const SessionRef& session,
                                const ArrivalRef& arrival,
                                const CallerAnswer& answer) {
  CallerAnswer result = answer;
  result.outcome = Outcome::kNotRun;
  Ask(session, MakeRequest(CallerVerb::kRollback, session->name + "-rollback"),
      [](const CallerAnswer&) {});
  RecordOutcome(*arrival, result);
}

void LoadRun::Finish(const SessionRef& session,
                     const ArrivalRef& arrival,
                     const CallerAnswer& answer) {
  if (arrival->verb == CallerVerb::kRead) {
    history_[arrival->operation].seen = SplitValues(answer.answer);
  }
  // After a commit in doubt the token may still name the transaction.
  if (!arrival->is_transaction || answer.outcome == Outcome::kDone) {
    idle_[session->caller->name].push_back(session);
  }
  if (answer.outcome == Outcome::kUnknown) {
    caller_by_operation_[history_[arrival->operation].request] =
        *session->caller;
  }
  RecordOutcome(*arrival, answer);
}

void LoadRun::RecordOutcome(const LoadRequest& arrival,
                            const CallerAnswer& answer) {
  Operation& operation = history_[arrival.operation];
  operation.outcome = answer.outcome;
  operation.ended = GetMicros();
  const char* kind = arrival.is_transaction               ? "transaction"
                     : arrival.verb == CallerVerb::kWrite ? "write"
                                                          : "read";
  const std::string caller =
      operation.session.substr(0, operation.session.rfind('-'));
  report_.Add({{caller, std::string(WorkClassName(arrival.work_class)), kind},
               answer.outcome,
               answer.ec,
               loop_.Now() - began_,
               loop_.Now() - arrival.arrived,
               answer.endpoint.value});
  if (settings_.history.empty()) {
    operation.seen.clear();
  }
  --in_progress_;
  FinishIfIdle();
}

void LoadRun::BeginOperation(const SessionRef& session,
                             LoadRequest& arrival,
                             OperationKind kind) {
  Operation operation;
  operation.request = "s" + std::to_string(settings_.seed) + "-" +
                      std::to_string(history_.size());
  operation.session = session->name;
  operation.kind = kind;
  operation.additions = arrival.additions;
  if (kind == OperationKind::kRead) {
    operation.additions.front().value.clear();
  }
  operation.began = GetMicros();
  arrival.operation = history_.size();
  history_.push_back(std::move(operation));
}

void LoadRun::Ask(const SessionRef& session, CallerRequest request, Next next) {
  HttpCall call;
  const std::string& entry =
      settings_.entries[random_() % settings_.entries.size()];
  ParseSocketAddress(entry, call.address);
  call.path = PathOfVerb(request.verb);
  request.token = session->token;
  call.body = FormatCallerRequest(request);
  call.headers = {"X-Magnoliareel-Caller: " + session->caller->name,
                  "X-Magnoliareel-Key: " + session->caller->key};
  call.timeout = request.deadline + kReplyGracePeriod;
  client_.Send(std::move(call),
               [this, session, next = std::move(next)](const HttpReply& reply) {
                 loop_.Post([session, next, answer = ParseReply(reply)] {
                   if (!answer.token.empty()) {
                     session->token = answer.token;
                   }
                   next(answer);
                 });
               });
}

CallerRequest LoadRun::MakeRequest(CallerVerb verb, std::string name) const {
  CallerRequest request;
  request.verb = verb;
  request.request.value = std::move(name);
  request.deadline = std::chrono::milliseconds(settings_.deadline_ms);
  return request;
}

void LoadRun::FinishIfIdle() {
  if (!is_finishing_ || in_progress_ > 0) {
    return;
  }
  if (settings_.history.empty()) {
    done_();
    return;
  }
  SettleNextUnknownOperation();
}

/** Settles every operation in doubt, one after another. */
void LoadRun::SettleNextUnknownOperation() {
  while (next_to_settle_ < history_.size() &&
         !(history_[next_to_settle_].outcome == Outcome::kUnknown &&
           history_[next_to_settle_].kind != OperationKind::kRead)) {
    ++next_to_settle_;
  }
  if (next_to_settle_ == history_.size()) {
    ReadFinalRecord(0);
    return;
  }
  Operation& operation = history_[next_to_settle_];
  OpenSession(caller_by_operation_.at(operation.request),
              [this, &operation](const SessionRef& session) {
                CallerRequest request =
                    MakeRequest(CallerVerb::kSettle, operation.request);
                request.record_key = operation.additions.front().record;
                Ask(session, std::move(request),
                    [this, &operation](const CallerAnswer& answer) {
                      operation.outcome = answer.outcome;
                      operation.ended = GetMicros();
                      loop_.After(answer.outcome == Outcome::kUnknown
                                      ? kRetryPause
                                      : Duration(0),
                                  [this] { SettleNextUnknownOperation(); });
                    });
              });
}

/** Reads each record from its primary. */
void LoadRun::ReadFinalRecord(size_t record) {
  if (record == static_cast<size_t>(settings_.records)) {
    done_();
    return;
  }
  AcquireSession(
      settings_.callers.front(), [this, record](const SessionRef& session) {
        const std::string name = "record-" + std::to_string(record);
        CallerRequest request = MakeRequest(CallerVerb::kRead, "final-" + name);
        request.record_key = name;
        request.statement = "get " + name;
        request.max_age = Duration::zero();
        const int64_t began = GetMicros();
        Ask(session, std::move(request),
            [this, session, record, name, began](const CallerAnswer& answer) {
              idle_[session->caller->name].push_back(session);
              if (answer.outcome != Outcome::kDone) {
                loop_.After(kRetryPause,
                            [this, record] { ReadFinalRecord(record); });
                return;
              }
              history_.push_back({"final-" + name,
                                  "final",
                                  OperationKind::kFinalRead,
                                  {{name, ""}},
                                  Outcome::kDone,
                                  SplitValues(answer.answer),
                                  began,
                                  GetMicros(),
                                  0});
              ReadFinalRecord(record + 1);
            });
      });
}

int64_t LoadRun::GetMicros() const {
  return (loop_.Now() - began_).count();
}

}  // namespace magnoliareel
