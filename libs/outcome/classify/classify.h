#ifndef MAGNOLIAREEL_OUTCOME_CLASSIFY_CLASSIFY_H_
#define MAGNOLIAREEL_OUTCOME_CLASSIFY_CLASSIFY_H_

#include <system_error>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** How a call to a process or endpoint ended. */
struct CallResult {
  /** Error of the transport; empty if an answer arrived. */
  std::error_code transport;
  /** Error in the answer; empty if the call was carried out. */
  std::error_code answer;
};

/** Derives the outcome of a statement from the end of its call.

    @param end  how the call ended
    @returns    kNotRun only if nothing was sent or the endpoint refused the
                statement before it ran
*/
Outcome ClassifyCall(const CallResult& end);

/** What an entry does after an attempt. */
enum class NextStep {
  /** Answer the caller. */
  kAnswer,
  /** Try the next endpoint or owner at once. */
  kTryNext,
  /** Try again after a pause. */
  kRetryLater,
  /** Ask for the recorded outcome. */
  kSettle,
};

/** Whether repeating a request could apply its effect twice. */
enum class Repeatability {
  /** Reads and idempotent writes. */
  kSafe,
  /** All others. */
  kUnsafe,
};

/** Decides how an entry goes on after an attempt that did not succeed.

    @param outcome        outcome of the attempt; not kDone
    @param ec             its error
    @param repeatability  of the request
    @returns              the next step; subject to deadline and retry budget
*/
NextStep ChooseNextStep(Outcome outcome,
                        const std::error_code& ec,
                        Repeatability repeatability);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_OUTCOME_CLASSIFY_CLASSIFY_H_
