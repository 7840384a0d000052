#include "apps/load/load_run.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "codec/codec.h"

namespace magnoliareel {
namespace {

constexpr Duration kReplyGracePeriod = std::chrono::milliseconds(1000);
constexpr Duration kRetryBackoff = std::chrono::milliseconds(100);
constexpr Duration kProgressInterval = std::chrono::seconds(1);

CallerAnswer ParseReply(const HttpResult& reply) {
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
      generator_(settings_),
      random_(static_cast<uint64_t>(settings_.seed)) {}

void LoadRun::Start(std::function<void()> on_finished) {
  on_finished_ = std::move(on_finished);
  started_at_ = loop_.Now();
  next_request_at_ = started_at_;
  ScheduleNextRequest();
  loop_.After(kProgressInterval, [this] { ReportProgress(); });
}

void LoadRun::ScheduleNextRequest() {
  // The interval starts at the scheduled time of the previous request rather
  // than at the current time, so that delays in this process do not lower the
  // arrival rate.
  next_request_at_ +=
      generator_.GenerateInterarrivalTime(loop_.Now() - started_at_);
  const Duration wait =
      std::max(Duration::zero(), next_request_at_ - loop_.Now());
  loop_.After(wait, [this] {
    if (loop_.Now() - started_at_ >=
        std::chrono::milliseconds(settings_.duration_ms)) {
      is_finishing_ = true;
      std::printf("sent all %lu requests\n", generated_requests_);
      std::fflush(stdout);
      FinishIfIdle();
      return;
    }
    StartRequest();
    ScheduleNextRequest();
  });
}

void LoadRun::ReportProgress() {
  std::printf(
      "%3ld s: %lu arrived, %zu finished, %zu done, %zu in progress, %lu "
      "sessions\n",
      std::chrono::duration_cast<std::chrono::seconds>(loop_.Now() -
                                                       started_at_)
          .count(),
      generated_requests_, report_.CountFinished(), report_.CountDone(),
      in_progress_, opened_sessions_);
  std::fflush(stdout);
  if (!is_finishing_) {
    loop_.After(kProgressInterval, [this] { ReportProgress(); });
  }
}

void LoadRun::StartRequest() {
  ++generated_requests_;
  ++in_progress_;
  const LoadCaller& caller = generator_.ChooseCaller();
  const auto load_request =
      std::make_shared<LoadRequest>(generator_.GenerateRequest());
  load_request->arrived_at = loop_.Now();
  AcquireSession(caller, [this, load_request](const SessionRef& session) {
    if (load_request->is_transaction) {
      RunTransaction(session, load_request);
    } else {
      RunStatement(session, load_request);
    }
  });
}

void LoadRun::AcquireSession(
    const LoadCaller& caller,
    const std::function<void(SessionRef)>& use_session) {
  auto& idle = idle_sessions_[caller.name];
  if (idle.empty()) {
    OpenSession(caller, use_session);
    return;
  }
  const SessionRef session = idle.back();
  idle.pop_back();
  use_session(session);
}

void LoadRun::OpenSession(const LoadCaller& caller,
                          const std::function<void(SessionRef)>& use_session) {
  auto session = std::make_shared<Session>();
  session->caller = &caller;
  session->name = caller.name + "-" + std::to_string(++opened_sessions_);
  CallerRequest request = MakeRequest(CallerVerb::kOpenSession, session->name);
  request.service.value = settings_.service;
  SendRequest(session, std::move(request),
              [this, session, use_session](const CallerAnswer& answer) {
                if (answer.outcome == Outcome::kDone) {
                  use_session(session);
                  return;
                }
                loop_.After(kRetryBackoff, [this, session, use_session] {
                  OpenSession(*session->caller, use_session);
                });
              });
}

void LoadRun::RunStatement(const SessionRef& session,
                           const LoadRequestRef& load_request) {
  const bool is_write = load_request->verb == CallerVerb::kWrite;
  BeginOperation(session, *load_request,
                 is_write ? OperationKind::kWrite : OperationKind::kRead);
  CallerRequest request = MakeRequest(
      load_request->verb, history_[load_request->history_index].request);
  request.record_key = load_request->additions.front().record;
  request.statement =
      generator_.MakeStatement(*load_request, load_request->additions.front());
  if (settings_.declare_long_statements != 0) {
    request.work_class = load_request->work_class;
  }
  request.is_idempotent = is_write && static_cast<int64_t>(random_() % 1000) <
                                          settings_.idempotent_permille;
  if (!is_write && settings_.max_age_ms >= 0) {
    request.max_age = std::chrono::milliseconds(settings_.max_age_ms);
  }
  SendRequest(session, std::move(request),
              [this, session, load_request](const CallerAnswer& answer) {
                FinishRequest(session, load_request, answer);
              });
}

void LoadRun::RunTransaction(const SessionRef& session,
                             const LoadRequestRef& load_request) {
  BeginOperation(session, *load_request, OperationKind::kTransaction);
  CallerRequest request =
      MakeRequest(CallerVerb::kBegin,
                  history_[load_request->history_index].request + "-begin");
  request.record_key = load_request->additions.front().record;
  SendRequest(session, std::move(request),
              [this, session, load_request](const CallerAnswer& answer) {
                if (answer.outcome == Outcome::kDone) {
                  WriteInTransaction(session, load_request, 0);
                } else {
                  AbandonTransaction(session, load_request, answer);
                }
              });
}

void LoadRun::WriteInTransaction(const SessionRef& session,
                                 const LoadRequestRef& load_request,
                                 size_t index) {
  const std::string& name = history_[load_request->history_index].request;
  if (index == load_request->additions.size()) {
    history_[load_request->history_index].commit_began = GetElapsedMicros();
    SendRequest(session, MakeRequest(CallerVerb::kCommit, name),
                [this, session, load_request](const CallerAnswer& answer) {
                  FinishRequest(session, load_request, answer);
                });
    return;
  }
  CallerRequest request =
      MakeRequest(CallerVerb::kWrite, name + "-" + std::to_string(index));
  request.statement =
      generator_.MakeStatement(*load_request, load_request->additions[index]);
  SendRequest(session, std::move(request),
              [this, session, load_request, index](const CallerAnswer& answer) {
                if (answer.outcome == Outcome::kDone) {
                  WriteInTransaction(session, load_request, index + 1);
                } else {
                  AbandonTransaction(session, load_request, answer);
                }
              });
}

/** Ends a transaction for which no commit was sent. Its outcome is recorded as
    kNotRun, because none of its writes may ever become visible. The session is
    not reused, because its transaction may still be open. */
void LoadRun::AbandonTransaction(const SessionRef& session,
                                 const LoadRequestRef& load_request,
                                 const CallerAnswer& answer) {
  CallerAnswer result = answer;
  result.outcome = Outcome::kNotRun;
  SendRequest(session,
              MakeRequest(CallerVerb::kRollback, session->name + "-rollback"),
              [](const CallerAnswer&) {});
  RecordOutcome(*load_request, result);
}

void LoadRun::FinishRequest(const SessionRef& session,
                            const LoadRequestRef& load_request,
                            const CallerAnswer& answer) {
  if (load_request->verb == CallerVerb::kRead) {
    history_[load_request->history_index].seen = SplitValues(answer.answer);
  }
  // After a commit whose outcome is unknown, the session token may still name
  // the transaction, so the session is not reused.
  if (!load_request->is_transaction || answer.outcome == Outcome::kDone) {
    idle_sessions_[session->caller->name].push_back(session);
  }
  if (answer.outcome == Outcome::kUnknown) {
    caller_by_operation_[history_[load_request->history_index].request] =
        *session->caller;
  }
  RecordOutcome(*load_request, answer);
}

void LoadRun::RecordOutcome(const LoadRequest& load_request,
                            const CallerAnswer& answer) {
  Operation& operation = history_[load_request.history_index];
  operation.outcome = answer.outcome;
  operation.ended = GetElapsedMicros();
  const char* kind = load_request.is_transaction               ? "transaction"
                     : load_request.verb == CallerVerb::kWrite ? "write"
                                                               : "read";
  const std::string caller =
      operation.session.substr(0, operation.session.rfind('-'));
  report_.Add(
      {{caller, std::string(GetWorkClassName(load_request.work_class)), kind},
       answer.outcome,
       answer.ec,
       loop_.Now() - started_at_,
       loop_.Now() - load_request.arrived_at,
       answer.endpoint.value});
  if (settings_.history.empty()) {
    operation.seen.clear();
  }
  --in_progress_;
  FinishIfIdle();
}

void LoadRun::BeginOperation(const SessionRef& session,
                             LoadRequest& load_request,
                             OperationKind kind) {
  Operation operation;
  operation.request = "s" + std::to_string(settings_.seed) + "-" +
                      std::to_string(history_.size());
  operation.session = session->name;
  operation.kind = kind;
  operation.additions = load_request.additions;
  if (kind == OperationKind::kRead) {
    operation.additions.front().value.clear();
  }
  operation.began = GetElapsedMicros();
  load_request.history_index = history_.size();
  history_.push_back(std::move(operation));
}

void LoadRun::SendRequest(const SessionRef& session,
                          CallerRequest request,
                          AnswerHandler on_answer) {
  HttpCall call;
  const std::string& entry =
      settings_.entries[random_() % settings_.entries.size()];
  ParseSocketAddress(entry, call.address);
  call.path = GetPathForVerb(request.verb);
  request.token = session->token;
  call.body = FormatCallerRequest(request);
  call.headers = {"X-Magnoliareel-Caller: " + session->caller->name,
                  "X-Magnoliareel-Key: " + session->caller->key};
  call.timeout = request.deadline + kReplyGracePeriod;
  client_.Send(std::move(call),
               [this, session,
                on_answer = std::move(on_answer)](const HttpResult& reply) {
                 loop_.Post([session, on_answer, answer = ParseReply(reply)] {
                   if (!answer.token.empty()) {
                     session->token = answer.token;
                   }
                   on_answer(answer);
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
    on_finished_();
    return;
  }
  SettleNextUnknownOperation();
}

/** Settles the operations whose outcome is unknown, one after another, and then
    reads the final value of each record. */
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
                SendRequest(session, std::move(request),
                            [this, &operation](const CallerAnswer& answer) {
                              operation.outcome = answer.outcome;
                              operation.ended = GetElapsedMicros();
                              loop_.After(
                                  answer.outcome == Outcome::kUnknown
                                      ? kRetryBackoff
                                      : Duration(0),
                                  [this] { SettleNextUnknownOperation(); });
                            });
              });
}

/** Reads the record with this number, and then every later one, from their
    primaries. The maximum age of zero excludes replicas. */
void LoadRun::ReadFinalRecord(size_t record) {
  if (record == static_cast<size_t>(settings_.records)) {
    on_finished_();
    return;
  }
  AcquireSession(
      settings_.callers.front(), [this, record](const SessionRef& session) {
        const std::string name = "record-" + std::to_string(record);
        CallerRequest request = MakeRequest(CallerVerb::kRead, "final-" + name);
        request.record_key = name;
        request.statement = "get " + name;
        request.max_age = Duration::zero();
        const int64_t began = GetElapsedMicros();
        SendRequest(
            session, std::move(request),
            [this, session, record, name, began](const CallerAnswer& answer) {
              idle_sessions_[session->caller->name].push_back(session);
              if (answer.outcome != Outcome::kDone) {
                loop_.After(kRetryBackoff,
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
                                  GetElapsedMicros(),
                                  0});
              ReadFinalRecord(record + 1);
            });
      });
}

int64_t LoadRun::GetElapsedMicros() const {
  return (loop_.Now() - started_at_).count();
}

}  // namespace magnoliareel
