#include "relay/messages/statement_error.h"

namespace magnoliareel {

std::string_view StatementErrorName(StatementError error) {
  switch (error) {
    case StatementError::kBusy:
      return "busy";
    case StatementError::kBehind:
      return "behind";
    case StatementError::kNotPrimary:
      return "not_primary";
    case StatementError::kWrongEndpoint:
      return "wrong_endpoint";
    case StatementError::kTooManyConnections:
      return "too_many_connections";
    case StatementError::kAborted:
      return "aborted";
    case StatementError::kUnknownStatement:
      return "unknown_statement";
    case StatementError::kFailed:
      return "failed";
    case StatementError::kTimedOut:
      return "timed_out";
    case StatementError::kUnknown:
      return "unknown";
    case StatementError::kUnknownDatabase:
      return "unknown_database";
    case StatementError::kNotAllowed:
      return "not_allowed";
    case StatementError::kTooLarge:
      return "too_large";
    case StatementError::kMalformed:
      return "malformed";
  }
  return "malformed";
}

}  // namespace magnoliareel
