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

/** One caller with one session: sends one request after another, each to any
    entry that is alive, and records what it was told. */
class SimCaller {
 public:
  SimCaller(SimCluster& cluster, int number, std::vector<Operation>& history);

  /** Opens the session and goes on until Stop(). */
  void Start();
  /** Sends nothing new; what is in doubt is settled. */
  void Stop() { is_stopped_ = true; }
  /** @returns whether nothing is in progress or in doubt */
  bool IsIdle() const { return is_idle_; }

 private:
  using Next = std::function<void(std::optional<CallerAnswer>)>;
  enum class Step { kWrite, kRead, kTransaction };

  void Ask(CallerRequest request, Next next);
  void GoOn();
  void Write();
  void Read();
  void BeginTransaction();
  void AddInTransaction(size_t operation, size_t number);
  void Commit(size_t operation);
  void GiveUpTransaction(size_t operation);
  void NoteEffect(size_t operation, const std::optional<CallerAnswer>& answer);
  void Settle(size_t operation);
  size_t AddOperation(OperationKind kind, std::vector<Addition> additions);
  void Finish(size_t operation, Outcome outcome);
  std::string ChooseRecord();
  CallerRequest MakeRequest(CallerVerb verb, const std::string& name);
  int64_t GetMicroseconds() const;

  SimCluster& cluster_;
  SimNode node_;
  const std::string name_;
  std::vector<Operation>& history_;
  std::string token_;
  int next_ = 0;
  int sessions_ = 0;
  bool is_stopped_ = false;
  bool is_idle_ = false;
};

/** @returns the records that callers use */
std::vector<std::string> ListRecords();

}  // namespace magnoliareel::sim

#endif  // MAGNOLIAREEL_TESTS_SIMULATION_SIM_CALLER_H_
