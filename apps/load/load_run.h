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

/** One run of the load: arrivals that do not wait for answers, over sessions
    that each have one request at a time.

    All state belongs to the loop; the client's thread hands it answers.
*/
class LoadRun {
 public:
  /** @param settings  of the run  @param loop  owns the state */
  LoadRun(LoadSettings settings, ControlLoop& loop);

  /** Runs the load. @param done  called on the loop when all is over */
  void Start(std::function<void()> done);

  /** @returns the figures; after the end */
  const LoadReport& GetReport() const { return report_; }
  /** @returns the recorded operations; after the end */
  const std::vector<Operation>& GetHistory() const { return history_; }

 private:
  struct Session {
    const LoadCaller* caller = nullptr;
    std::string name;
    std::string token;
  };
  using SessionRef = std::shared_ptr<Session>;
  using Next = std::function<void(const CallerAnswer&)>;

  using ArrivalRef = std::shared_ptr<LoadRequest>;

  void ScheduleNextRequest();
  void Arrive();
  void ReportProgress();
  void AcquireSession(const LoadCaller& caller,
                      const std::function<void(SessionRef)>& use);
  void OpenSession(const LoadCaller& caller,
                   const std::function<void(SessionRef)>& use);
  void RunStatement(const SessionRef& session, const ArrivalRef& arrival);
  void RunTransaction(const SessionRef& session, const ArrivalRef& arrival);
  void AddInTransaction(const SessionRef& session,
                        const ArrivalRef& arrival,
                        size_t number);
  void GiveUpTransaction(const SessionRef& session,
                         const ArrivalRef& arrival,
                         const CallerAnswer& answer);
  void Finish(const SessionRef& session,
              const ArrivalRef& arrival,
              const CallerAnswer& answer);
  void RecordOutcome(const LoadRequest& arrival, const CallerAnswer& answer);
  void BeginOperation(const SessionRef& session,
                      LoadRequest& arrival,
                      OperationKind kind);
  void Ask(const SessionRef& session, CallerRequest request, Next next);
  CallerRequest MakeRequest(CallerVerb verb, std::string name) const;

  void FinishIfIdle();
  void SettleNextUnknownOperation();
  void ReadFinalRecord(size_t record);

  int64_t GetMicros() const;

  const LoadSettings settings_;
  ControlLoop& loop_;
  HttpClient client_;
  WorkloadGenerator plan_;
  ProcessRandom random_;
  LoadReport report_;
  std::vector<Operation> history_;
  std::function<void()> done_;
  TimePoint began_;
  TimePoint next_request_at_;
  std::map<std::string, std::vector<SessionRef>> idle_;
  std::map<std::string, LoadCaller> caller_by_operation_;
  size_t in_progress_ = 0;
  uint64_t generated_requests_ = 0;
  uint64_t sessions_ = 0;
  size_t next_to_settle_ = 0;
  bool is_finishing_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_LOAD_LOAD_RUN_H_
