#include "core/errors/error.h"

#include <algorithm>
#include <array>
#include <string>

namespace magnoliareel {
namespace {

struct ErrorEntry {
  Error error;
  std::string_view name;
  std::string_view text;
};

constexpr auto kEntries = std::to_array<ErrorEntry>({
    {Error::kMalformedMessage, "malformed_message",
     "the message cannot be parsed"},
    {Error::kMissingField, "missing_field", "a required field is missing"},
    {Error::kUnknownField, "unknown_field", "the field is not known"},
    {Error::kWrongType, "wrong_type", "the value has the wrong type"},
    {Error::kOutOfRange, "out_of_range", "the value is out of range"},
    {Error::kBodyTooLarge, "body_too_large", "the body exceeds the size limit"},
    {Error::kUnknownPath, "unknown_path", "no such path"},
    {Error::kUnknownMethod, "unknown_method",
     "the path does not accept this method"},
    {Error::kUnknownService, "unknown_service", "no such service"},
    {Error::kUnknownCaller, "unknown_caller", "no such caller"},
    {Error::kBadKey, "bad_key", "the caller's key is wrong"},
    {Error::kForgedToken, "forged_token", "the session token is not authentic"},
    {Error::kNotAllowed, "not_allowed", "the caller may not use this service"},
    {Error::kUnknownFlag, "unknown_flag", "no such flag"},
    {Error::kBadSetting, "bad_setting", "the setting has a bad value"},
    {Error::kDuplicateName, "duplicate_name", "the name is used twice"},
    {Error::kUnknownName, "unknown_name", "the name refers to nothing"},
    {Error::kNoDocument, "no_document",
     "no configuration document is in force"},
    {Error::kUnknownEndpoint, "unknown_endpoint", "no such endpoint"},
    {Error::kNoPrimary, "no_primary", "the group has no primary at present"},
    {Error::kNotPrimary, "not_primary",
     "the endpoint is not its group's primary"},
    {Error::kReplicaBehind, "replica_behind",
     "the replica has not reached the required position"},
    {Error::kReplicationBehind, "replication_behind",
     "replication is too slow to acknowledge in time"},
    {Error::kEndpointLeaving, "endpoint_leaving", "the endpoint is leaving"},
    {Error::kStaleTerm, "stale_term", "the term has been superseded"},
    {Error::kNoTransaction, "no_transaction",
     "the session has no open transaction"},
    {Error::kTransactionOpen, "transaction_open",
     "the session already has an open transaction"},
    {Error::kTransactionLost, "transaction_lost",
     "the transaction was rolled back"},
    {Error::kTransactionBusy, "transaction_busy",
     "another statement of the transaction is in progress"},
    {Error::kTooManyConnections, "too_many_connections",
     "the endpoint's connection limit is reached"},
    {Error::kConnectionLost, "connection_lost",
     "the endpoint does not know the connection"},
    {Error::kOverloaded, "overloaded", "too much work is waiting"},
    {Error::kDeadlineExceeded, "deadline_exceeded", "the deadline has passed"},
    {Error::kShuttingDown, "shutting_down", "the process is shutting down"},
    {Error::kUnreachable, "unreachable", "the peer cannot be reached"},
    {Error::kAnswerLost, "answer_lost",
     "the request was sent and its answer did not arrive"},
    {Error::kEndpointStopped, "endpoint_stopped",
     "the endpoint does not run at its address"},
    {Error::kAnswerTooLarge, "answer_too_large",
     "the answer exceeds the size limit"},
    {Error::kStatementFailed, "statement_failed",
     "the database rejected the statement"},
    {Error::kVersionConflict, "version_conflict",
     "the row has another version than expected"},
    {Error::kNotFound, "not_found", "nothing is stored under this key"},
    {Error::kStoreUnavailable, "store_unavailable",
     "the platform's store does not answer"},
    {Error::kNoGrant, "no_grant", "this VM holds no grant of a term"},
    {Error::kNoMajority, "no_majority",
     "a majority of the group cannot be reached"},
    {Error::kRequestIdReused, "request_id_reused",
     "the request id was used for another statement"},
    {Error::kRequestVoid, "request_void", "the request was settled as not run"},
    {Error::kDiverged, "diverged",
     "the log differs from the primary's at this position"},
    {Error::kListenFailed, "listen_failed",
     "the address cannot be listened on"},
    {Error::kPeerClosed, "peer_closed", "the peer closed the connection"},
    {Error::kHistoryLost, "history_lost",
     "the changes since that version are not known any more"},
    {Error::kSuperseded, "superseded", "a newer holder of the duty has acted"},
});

const ErrorEntry* FindEntry(int value) {
  const auto it = std::find_if(kEntries.begin(), kEntries.end(),
                               [value](const ErrorEntry& entry) {
                                 return static_cast<int>(entry.error) == value;
                               });
  return it == kEntries.end() ? nullptr : &*it;
}

class ErrorCategory final : public std::error_category {
 public:
  const char* name() const noexcept override { return "magnoliareel"; }

  std::string message(int value) const override {
    const ErrorEntry* entry = FindEntry(value);
    return entry == nullptr ? "unknown error" : std::string(entry->text);
  }
};

}  // namespace

const std::error_category& GetErrorCategory() noexcept {
  static const ErrorCategory category;
  return category;
}

std::error_code make_error_code(Error error) noexcept {
  return {static_cast<int>(error), GetErrorCategory()};
}

std::string_view GetErrorName(const std::error_code& ec) noexcept {
  if (ec.category() != GetErrorCategory()) {
    return "system_error";
  }
  const ErrorEntry* entry = FindEntry(ec.value());
  return entry == nullptr ? "system_error" : entry->name;
}

std::error_code ParseErrorName(std::string_view name) noexcept {
  for (const ErrorEntry& entry : kEntries) {
    if (entry.name == name) {
      return entry.error;
    }
  }
  return Error::kMalformedMessage;
}

std::span<const Error> ListErrors() noexcept {
  static const auto errors = [] {
    std::array<Error, kEntries.size()> list{};
    std::transform(kEntries.begin(), kEntries.end(), list.begin(),
                   [](const ErrorEntry& entry) { return entry.error; });
    return list;
  }();
  return errors;
}

}  // namespace magnoliareel
