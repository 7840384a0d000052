#ifndef MAGNOLIAREEL_OUTCOME_CLASSIFY_CLASSIFY_H_
#define MAGNOLIAREEL_OUTCOME_CLASSIFY_CLASSIFY_H_

#include <system_error>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** Result of a call to a process or endpoint. */
struct CallResult {
  /** Error of the transport; empty if an answer arrived. */
  std::error_code transport;
  /** Error in the answer; empty if the call succeeded. */
  std::error_code answer;
};

/** Derives the outcome of a statement from the result of its call.

    @param result  result of the call
    @returns       the outcome; kNotRun only if nothing was sent or the endpoint
                   refused the statement before running it
*/
Outcome ClassifyCall(const CallResult& result);

/** Next step of an entry after an unsuccessful attempt. */
enum class NextStep {
  /** Answer the caller. */
  kAnswer,
  /** Try the next endpoint or owner immediately. */
  kTryNext,
  /** Retry after a backoff. */
  kRetryLater,
  /** Query the recorded outcome. */
  kSettle,
};

/** Tells whether repeating a request could apply its effect twice. */
enum class Repeatability {
  /** Repeating the request is safe, as for reads and idempotent writes. */
  kSafe,
  /** Repeating the request could apply its effect twice. */
  kUnsafe,
};

/** Decides what an entry does after an unsuccessful attempt.

    @param outcome        outcome of the attempt; not kDone
    @param ec             error of the attempt
    @param repeatability  whether the request may be repeated
    @returns              the next step; the caller must still check the
                          deadline and the retry budget
*/
NextStep ChooseNextStep(Outcome outcome,
                        const std::error_code& ec,
                        Repeatability repeatability);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_OUTCOME_CLASSIFY_CLASSIFY_H_
