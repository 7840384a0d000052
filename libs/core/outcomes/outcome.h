#ifndef MAGNOLIAREEL_CORE_OUTCOMES_OUTCOME_H_
#define MAGNOLIAREEL_CORE_OUTCOMES_OUTCOME_H_

#include <optional>
#include <string_view>

namespace magnoliareel {

/** Outcome of a request. Every answer has exactly one outcome.

    @see GetOutcomeName
*/
enum class Outcome {
  /** The request ran, and its result is attached. */
  kDone,
  /** The request ran, but the database rejected it without effect. */
  kFailed,
  /** The request did not run. */
  kNotRun,
  /** The request may have run. A lookup by its request id tells whether it
      did. */
  kUnknown,
};

/** @param outcome  the outcome
    @returns         its name in messages: done, failed, not_run or unknown
*/
std::string_view GetOutcomeName(Outcome outcome) noexcept;

/** @param name  a name as returned by GetOutcomeName()
    @returns     the outcome; std::nullopt for an unknown name
*/
std::optional<Outcome> ParseOutcomeName(std::string_view name) noexcept;

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_OUTCOMES_OUTCOME_H_
