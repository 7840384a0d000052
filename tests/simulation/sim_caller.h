#ifndef MAGNOLIAREEL_TESTS_SIMULATION_SIM_CALLER_H_
#define MAGNOLIAREEL_TESTS_SIMULATION_SIM_CALLER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "history/history.h"
#include "messages/messages.h"
#include "tests/simulation/sim_cluster.h"

namespace magnoliareel::sim {

/** A caller with one session at a time. It sends one request after another,
    each to a random entry, and records the outcomes in a history. */
class SimCaller {
 public:
  /** @param cluster  the cluster to call; outlives this object
      @param number   unique; becomes part of the caller's name
      @param history  receives the operations; outlives this object
  */
  SimCaller(SimCluster& cluster, int number, std::vector<Operation>& history);

  /** Opens a session and runs operations until Stop(). */
  void Start();
  /** Begins no further operation; operations of unknown outcome are still
      settled. */
  void Stop() { is_stopped_ = true; }
  /** @returns true if no operation is in progress or of unknown outcome */
  bool IsIdle() const { return is_idle_; }

 private:
  using AnswerCompletion = std::function<void(std::optional<CallerAnswer>)>;
  enum class Step { kWrite, kRead, kTransaction };

  void SendRequest(CallerRequest request, AnswerCompletion done);
  void StartNextOperation();
  void StartWrite();
  void StartRead();
  void BeginTransaction();
  void WriteInTransaction(size_t operation, size_t number);
  void Commit(size_t operation);
  void AbandonTransaction(size_t operation);
  void HandleWriteAnswer(size_t operation,
                         const std::optional<CallerAnswer>& answer);
  void SettleOutcome(size_t operation);
  size_t AddOperation(OperationKind kind, std::vector<Addition> additions);
  void RecordOutcome(size_t operation, Outcome outcome);
  std::string ChooseRecord();
  CallerRequest MakeRequest(CallerVerb verb, const std::string& name);
  int64_t GetNowMicros() const;

  SimCluster& cluster_;
  SimNode node_;
  const std::string name_;
  std::vector<Operation>& history_;
  std::string token_;
  int next_request_number_ = 0;
  int session_count_ = 0;
  bool is_stopped_ = false;
  bool is_idle_ = false;
};

/** @returns the names of the records that callers use */
std::vector<std::string> ListRecords();

}  // namespace magnoliareel::sim

#endif  // MAGNOLIAREEL_TESTS_SIMULATION_SIM_CALLER_H_
