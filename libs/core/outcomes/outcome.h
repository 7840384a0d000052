#ifndef MAGNOLIAREEL_CORE_OUTCOMES_OUTCOME_H_
#define MAGNOLIAREEL_CORE_OUTCOMES_OUTCOME_H_

#include <optional>
#include <string_view>

namespace magnoliareel {

/** What became of a request; every answer carries exactly one.

    @see GetOutcomeName
*/
enum class Outcome {
  /** It ran and its answer is attached. */
  kDone,
  /** It ran, the database rejected it, and it had no effect. */
  kFailed,
  /** It certainly did not run. */
  kNotRun,
  /** It may have run; a lookup of its request id settles which. */
  kUnknown,
};

/** @param outcome  any outcome
    @returns         its name in messages: done, failed, not_run or unknown
*/
std::string_view GetOutcomeName(Outcome outcome) noexcept;

/** @param name  a name as returned by GetOutcomeName()
    @returns     the outcome, or nothing for any other text
*/
std::optional<Outcome> ParseOutcomeName(std::string_view name) noexcept;

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_OUTCOMES_OUTCOME_H_
