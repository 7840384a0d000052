#ifndef MAGNOLIAREEL_RELAY_MESSAGES_ENDPOINT_MESSAGE_H_
#define MAGNOLIAREEL_RELAY_MESSAGES_ENDPOINT_MESSAGE_H_

#include <optional>
#include <string_view>

#include "core/core.h"
#include "relay/messages/statement_error.h"

namespace magnoliareel {

/** Where a connection stands between two statements. */
enum class TransactionStatus {
  kIdle,
  kInTransaction,
  /** The transaction failed; only its end is accepted. */
  kFailedTransaction,
};

/** Parts of an answer, in the order in which they come. */
enum class EndpointMessageKind { kRow, kComplete, kError, kReady };

/** A decoded message of an endpoint; views refer to the received bytes. */
struct EndpointMessage {
  EndpointMessageKind kind = EndpointMessageKind::kReady;
  /** kRow: the data; kComplete: the proof; kError: the explanation. */
  std::string_view text;
  /** kError. */
  StatementError error = StatementError::kMalformed;
  /** kReady. */
  TransactionStatus status = TransactionStatus::kIdle;
  /** kReady: the end of the endpoint's log, if it said. */
  std::optional<LogPoint> log_end;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_MESSAGES_ENDPOINT_MESSAGE_H_
