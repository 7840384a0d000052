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

/** One generated request: a statement or a transaction. */
struct LoadRequest {
  /** Verb of the request; kBegin for a transaction. */
  CallerVerb verb = CallerVerb::kRead;
  /** True if the request is a transaction, which takes several calls. */
  bool is_transaction = false;
  /** Work class of the statement: short or long. */
  WorkClass work_class = WorkClass::kShort;
  /** Values that the request writes, with their records. A read has one entry,
      of which only the record is used. */
  std::vector<Addition> additions;
  /** Time at which the request arrived. */
  TimePoint arrived_at;
  /** Index of the request's operation in the recorded history. */
  size_t history_index = 0;
};

/** Generates the arrival times, callers and contents of requests. The seed of
    the settings determines the whole sequence. */
class WorkloadGenerator {
 public:
  /** @param settings  settings of the run; must outlive this object */
  explicit WorkloadGenerator(const LoadSettings& settings);

  /** Draws an exponentially distributed time between two arrivals, so that
      arrivals form a Poisson process.

      @param elapsed  time since the start of the run
      @returns        time until the next arrival
  */
  Duration GenerateInterarrivalTime(Duration elapsed);
  /** @returns the caller of the next request, chosen at random by weight */
  const LoadCaller& ChooseCaller();
  /** @returns the next request */
  LoadRequest GenerateRequest();
  /** @param load_request  a request
      @param addition      one of the request's additions
      @returns             the text of the statement
  */
  std::string MakeStatement(const LoadRequest& load_request,
                            const Addition& addition) const;

 private:
  bool IsInBurst(Duration elapsed) const;

  const LoadSettings& settings_;
  ProcessRandom random_;
  uint64_t generated_requests_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_LOAD_WORKLOAD_GENERATOR_H_
