#ifndef MAGNOLIAREEL_CORE_ERRORS_ERROR_H_
#define MAGNOLIAREEL_CORE_ERRORS_ERROR_H_

#include <span>
#include <string_view>
#include <system_error>

namespace magnoliareel {

/** All errors that the system reports to callers and operators.

    @see make_error_code, GetErrorName
*/
enum class Error {
  kMalformedMessage = 1,
  kMissingField,
  kUnknownField,
  kWrongType,
  kOutOfRange,
  kBodyTooLarge,
  kUnknownPath,
  kUnknownMethod,
  kUnknownService,
  kUnknownCaller,
  kBadKey,
  kForgedToken,
  kNotAllowed,
  kUnknownFlag,
  kBadSetting,
  kDuplicateName,
  kUnknownName,
  kNoDocument,
  kUnknownEndpoint,
  kNoPrimary,
  kNotPrimary,
  kReplicaBehind,
  kReplicationBehind,
  kEndpointLeaving,
  kStaleTerm,
  kNoTransaction,
  kTransactionOpen,
  kTransactionLost,
  kTransactionBusy,
  kTooManyConnections,
  kConnectionLost,
  kOverloaded,
  kDeadlineExceeded,
  kShuttingDown,
  kUnreachable,
  kAnswerLost,
  kEndpointStopped,
  kAnswerTooLarge,
  kStatementFailed,
  kVersionConflict,
  kNotFound,
  kStoreUnavailable,
  kNoGrant,
  kNoMajority,
  kRequestIdReused,
  kRequestVoid,
  kDiverged,
  kListenFailed,
  kPeerClosed,
  kHistoryLost,
  kSuperseded,
};

/** @returns the category that all values of Error belong to */
const std::error_category& GetErrorCategory() noexcept;

/** Creates an error code. Found by argument-dependent lookup when an Error
    converts to std::error_code.

    @param error  the error to wrap
    @returns      the error in the magnoliareel category
*/
std::error_code make_error_code(Error error) noexcept;

/** @param ec  any error code
    @returns    the stable snake_case name that callers receive; "system_error"
                for codes of other categories
*/
std::string_view GetErrorName(const std::error_code& ec) noexcept;

/** @param name  a name as returned by GetErrorName()
    @returns     the error of that name; Error::kMalformedMessage if unknown
*/
std::error_code ParseErrorName(std::string_view name) noexcept;

/** @returns all errors in the order of declaration */
std::span<const Error> ListErrors() noexcept;

}  // namespace magnoliareel

/** Lets Error convert to std::error_code. */
template <>
struct std::is_error_code_enum<magnoliareel::Error> : std::true_type {};

#endif  // MAGNOLIAREEL_CORE_ERRORS_ERROR_H_
