#ifndef MAGNOLIAREEL_RELAY_MESSAGES_STATEMENT_ERROR_H_
#define MAGNOLIAREEL_RELAY_MESSAGES_STATEMENT_ERROR_H_

#include <string_view>

namespace magnoliareel {

/** Why a statement has no result. */
enum class StatementError {
  /** All slots and the endpoint's queue were taken; it did not run. */
  kBusy,
  /** The replica lacks the demanded log point; it did not run. */
  kBehind,
  /** The endpoint does not lead; it did not run. */
  kNotPrimary,
  /** The address belongs to another endpoint or service; it did not run. */
  kWrongEndpoint,
  /** The endpoint takes no further connection. */
  kTooManyConnections,
  /** The transaction was rolled back. */
  kAborted,
  /** The connection knows no prepared statement of that name. */
  kUnknownStatement,
  /** It ran and the database rejected it. */
  kFailed,
  /** It ran for too long. */
  kTimedOut,
  /** Whether it ran is not known. */
  kUnknown,
  /** No route has the database's name. */
  kUnknownDatabase,
  kNotAllowed,
  kTooLarge,
  kMalformed,
};

/** @param refusal  any reason
    @returns         true if it states that nothing of the attempt is kept
*/
constexpr bool GuaranteesNoEffect(StatementError error) {
  return error <= StatementError::kAborted;
}

/** @param refusal  any reason
    @returns         its name in logs and metrics
*/
std::string_view StatementErrorName(StatementError error);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_MESSAGES_STATEMENT_ERROR_H_
