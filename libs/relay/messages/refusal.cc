#include "relay/messages/refusal.h"

namespace magnoliareel {

std::string_view RefusalName(Refusal refusal) {
  switch (refusal) {
    case Refusal::kBusy:
      return "busy";
    case Refusal::kBehind:
      return "behind";
    case Refusal::kNotPrimary:
      return "not_primary";
    case Refusal::kWrongEndpoint:
      return "wrong_endpoint";
    case Refusal::kTooManyConnections:
      return "too_many_connections";
    case Refusal::kAborted:
      return "aborted";
    case Refusal::kUnknownStatement:
      return "unknown_statement";
    case Refusal::kFailed:
      return "failed";
    case Refusal::kTimedOut:
      return "timed_out";
    case Refusal::kUnknown:
      return "unknown";
    case Refusal::kUnknownDatabase:
      return "unknown_database";
    case Refusal::kNotAllowed:
      return "not_allowed";
    case Refusal::kTooLarge:
      return "too_large";
    case Refusal::kMalformed:
      return "malformed";
  }
  return "malformed";
}

}  // namespace magnoliareel
