#ifndef MAGNOLIAREEL_RELAY_MESSAGES_ENDPOINT_MESSAGE_H_
#define MAGNOLIAREEL_RELAY_MESSAGES_ENDPOINT_MESSAGE_H_

#include <optional>
#include <string_view>

#include "core/core.h"
#include "relay/messages/statement_error.h"

namespace magnoliareel {

/** State of a connection's transaction between two statements. */
enum class TransactionStatus {
  kIdle,
  kInTransaction,
  /** The transaction failed; only COMMIT or ROLLBACK is accepted. */
  kFailedTransaction,
};

/** Parts of a reply, in the order in which they arrive. */
enum class EndpointMessageKind { kRow, kComplete, kError, kReady };

/** A decoded message from an endpoint. The views refer to the received
    bytes. */
struct EndpointMessage {
  EndpointMessageKind kind = EndpointMessageKind::kReady;
  /** kRow: the data; kComplete: the proof of execution; kError: the
      description. */
  std::string_view text;
  /** kError: the reason. */
  StatementError error = StatementError::kMalformed;
  /** kReady: state of the connection's transaction. */
  TransactionStatus status = TransactionStatus::kIdle;
  /** kReady: the end of the endpoint's log, if it was reported. */
  std::optional<LogPoint> log_end;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_MESSAGES_ENDPOINT_MESSAGE_H_
