#ifndef MAGNOLIAREEL_APPS_LOAD_WORKLOAD_GENERATOR_H_
#define MAGNOLIAREEL_APPS_LOAD_WORKLOAD_GENERATOR_H_

#include <cstdint>
#include <string>
#include <vector>

#include "apps/load/load_settings.h"
#include "core/core.h"
#include "history/history.h"
#include "messages/messages.h"

namespace magnoliareel {

/** A request of the plan. */
struct LoadRequest {
  /** What is asked; for a transaction, kBegin. */
  CallerVerb verb = CallerVerb::kRead;
  /** Whether it is a transaction. */
  bool is_transaction = false;
  /** Whether it is a long statement. */
  WorkClass work_class = WorkClass::kShort;
  /** What it adds; for a read, the record. */
  std::vector<Addition> additions;
  /** When it arrived. */
  TimePoint arrived;
  /** Its place in the history. */
  size_t operation = 0;
};

/** Chooses, from one seed, when requests arrive and what they are. */
class WorkloadGenerator {
 public:
  /** @param settings  of the run; outlives this */
  explicit WorkloadGenerator(const LoadSettings& settings);

  /** @param at  time since the run began  @returns time to the next arrival */
  Duration GenerateInterarrivalTime(Duration at);
  /** @returns the caller of the next arrival */
  const LoadCaller& ChooseCaller();
  /** @returns the next arrival */
  LoadRequest GenerateRequest();
  /** @param arrival   a request  @param addition  one of its additions
      @returns         the statement to send */
  std::string MakeStatement(const LoadRequest& arrival,
                            const Addition& addition) const;

 private:
  bool IsInBurst(Duration at) const;

  const LoadSettings& settings_;
  ProcessRandom random_;
  uint64_t generated_requests_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_LOAD_WORKLOAD_GENERATOR_H_
