#ifndef MAGNOLIAREEL_APPS_LOAD_LOAD_RUN_H_
#define MAGNOLIAREEL_APPS_LOAD_LOAD_RUN_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "apps/load/load_report.h"
#include "apps/load/load_settings.h"
#include "apps/load/workload_generator.h"
#include "core/core.h"
#include "history/history.h"
#include "http/http.h"
#include "messages/messages.h"

namespace magnoliareel {

/** One run of an open-loop load: requests arrive independently of answers. Each
    request uses a session of its own while it is in progress.

    The control loop's thread owns all state; the HTTP client's thread posts
    answers to it.
*/
class LoadRun {
 public:
  /** @param settings  settings of the run
      @param loop      control loop whose thread owns the state; must outlive
                       this object
  */
  LoadRun(LoadSettings settings, ControlLoop& loop);

  /** Starts the run. Must be called on the control loop.

      @param on_finished  called on the control loop after the last request has
                          been answered and, if a history is recorded, every
                          unknown outcome has been settled and every record has
                          been read
  */
  void Start(std::function<void()> on_finished);

  /** @returns the report; valid after the run has finished */
  const LoadReport& GetReport() const { return report_; }
  /** @returns the recorded operations; valid after the run has finished */
  const std::vector<Operation>& GetHistory() const { return history_; }

 private:
  struct Session {
    const LoadCaller* caller = nullptr;
    std::string name;
    std::string token;
  };
  using SessionRef = std::shared_ptr<Session>;
  using AnswerHandler = std::function<void(const CallerAnswer&)>;

  using LoadRequestRef = std::shared_ptr<LoadRequest>;

  void ScheduleNextRequest();
  void StartRequest();
  void ReportProgress();
  void AcquireSession(const LoadCaller& caller,
                      const std::function<void(SessionRef)>& use_session);
  void OpenSession(const LoadCaller& caller,
                   const std::function<void(SessionRef)>& use_session);
  void RunStatement(const SessionRef& session,
                    const LoadRequestRef& load_request);
  void RunTransaction(const SessionRef& session,
                      const LoadRequestRef& load_request);
  void WriteInTransaction(const SessionRef& session,
                          const LoadRequestRef& load_request,
                          size_t index);
  void AbandonTransaction(const SessionRef& session,
                          const LoadRequestRef& load_request,
                          const CallerAnswer& answer);
  void FinishRequest(const SessionRef& session,
                     const LoadRequestRef& load_request,
                     const CallerAnswer& answer);
  void RecordOutcome(const LoadRequest& load_request,
                     const CallerAnswer& answer);
  void BeginOperation(const SessionRef& session,
                      LoadRequest& load_request,
                      OperationKind kind);
  void SendRequest(const SessionRef& session,
                   CallerRequest request,
                   AnswerHandler on_answer);
  CallerRequest MakeRequest(CallerVerb verb, std::string name) const;

  void FinishIfIdle();
  void SettleNextUnknownOperation();
  void ReadFinalRecord(size_t record);

  int64_t GetElapsedMicros() const;

  const LoadSettings settings_;
  ControlLoop& loop_;
  HttpClient client_;
  WorkloadGenerator generator_;
  ProcessRandom random_;
  LoadReport report_;
  std::vector<Operation> history_;
  std::function<void()> on_finished_;
  TimePoint started_at_;
  TimePoint next_request_at_;
  std::map<std::string, std::vector<SessionRef>> idle_sessions_;
  std::map<std::string, LoadCaller> caller_by_operation_;
  size_t in_progress_ = 0;
  uint64_t generated_requests_ = 0;
  uint64_t opened_sessions_ = 0;
  size_t next_to_settle_ = 0;
  bool is_finishing_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_LOAD_LOAD_RUN_H_
