#ifndef MAGNOLIAREEL_RELAY_MESSAGES_STATEMENT_ERROR_H_
#define MAGNOLIAREEL_RELAY_MESSAGES_STATEMENT_ERROR_H_

#include <string_view>

namespace magnoliareel {

/** Why a statement has no result. The values up to kAborted guarantee that the
    attempt had no effect.

    @see GuaranteesNoEffect
*/
enum class StatementError {
  /** The endpoint's slots and queue were full; the statement did not run. */
  kBusy,
  /** The replica has not applied the required log point; the statement did not
      run. */
  kBehind,
  /** The endpoint is not the primary; the statement did not run. */
  kNotPrimary,
  /** The address belongs to another endpoint or service; the statement did not
      run. */
  kWrongEndpoint,
  /** The endpoint has reached its connection limit. */
  kTooManyConnections,
  /** The transaction was rolled back. */
  kAborted,
  /** No statement of that name is prepared on the connection. */
  kUnknownStatement,
  /** The statement ran and the database rejected it. */
  kFailed,
  /** The statement ran for too long. */
  kTimedOut,
  /** It is not known whether the statement ran. */
  kUnknown,
  /** No route exists for the database. */
  kUnknownDatabase,
  kNotAllowed,
  kTooLarge,
  kMalformed,
};

/** @param error  any reason
    @returns       true if it guarantees that the attempt had no effect
*/
constexpr bool GuaranteesNoEffect(StatementError error) {
  return error <= StatementError::kAborted;
}

/** @param error  any reason
    @returns       true if the statement may have run nevertheless
*/
constexpr bool MayHaveRun(StatementError error) {
  return error == StatementError::kFailed ||
         error == StatementError::kTimedOut ||
         error == StatementError::kUnknown;
}

/** Returns why a statement did not run because a request ahead of it, which it
    needs, was refused.

    @param refusal  the refusal of that request
    @returns        a reason which neither claims that the statement may have
                    run, nor asks the caller to repeat what is always refused
*/
constexpr StatementError GetErrorBehindRefusal(StatementError refusal) {
  const bool holds_for_both = GuaranteesNoEffect(refusal) ||
                              refusal == StatementError::kNotAllowed ||
                              refusal == StatementError::kTooLarge;
  return holds_for_both ? refusal : StatementError::kMalformed;
}

/** @param error  any reason
    @returns       its name in logs and metrics
*/
std::string_view StatementErrorName(StatementError error);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_MESSAGES_STATEMENT_ERROR_H_
