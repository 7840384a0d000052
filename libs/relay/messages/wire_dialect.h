#ifndef MAGNOLIAREEL_RELAY_MESSAGES_WIRE_DIALECT_H_
#define MAGNOLIAREEL_RELAY_MESSAGES_WIRE_DIALECT_H_

#include <concepts>
#include <optional>
#include <string>
#include <string_view>

#include "relay/messages/caller_message.h"
#include "relay/messages/endpoint_message.h"
#include "relay/messages/pooled_statement_name.h"

namespace magnoliareel {

/** Encoding of the session protocol: stateless functions that append an encoded
    message to a buffer, or decode one.

    - DecodeCaller, DecodeEndpoint: decode one whole message; return false if it
      is malformed.

    - AppendOpen: opens a connection; takes the service, the name of this VM and
      the endpoint that is expected at the address.
    - AppendForward: a caller's statement with its id and text unchanged, after
      an optional log point that the endpoint must have applied.
    - AppendExecute: a caller's execution of a prepared statement, under the
      pool's name for it, with the arguments as ParsedStatement has them.
    - AppendPrepare, AppendDeallocate: make and end the pool's name of a
      statement.
    - kMaxMessageBytes: length of the longest encoded message, including its
      end, that a peer accepts.
    - The others append the pool's own statements, or replies to a caller.

    @see TrafficCore
*/
template <class D>
concept WireDialect = requires(std::string& out,
                               std::string_view text,
                               const std::optional<LogPoint>& point,
                               TransactionStatus status,
                               StatementError error,
                               bool flag,
                               PooledStatementName name,
                               CallerMessage& from_caller,
                               EndpointMessage& from_endpoint) {
  { D::DecodeCaller(text, from_caller) } -> std::same_as<bool>;
  { D::DecodeEndpoint(text, from_endpoint) } -> std::same_as<bool>;
  D::AppendOpen(out, text, text, text);
  D::AppendForward(out, text, point, text);
  D::AppendExecute(out, text, point, name, text);
  D::AppendBegin(out);
  D::AppendBeginRead(out, point);
  D::AppendRollback(out);
  D::AppendReset(out);
  D::AppendSetValue(out, text, text);
  D::AppendPrepare(out, name, flag, text);
  D::AppendDeallocate(out, name);
  { D::kMaxMessageBytes } -> std::convertible_to<size_t>;
  D::AppendRow(out, text);
  D::AppendComplete(out, text);
  D::AppendError(out, error, text);
  D::AppendReady(out, status, point);
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_MESSAGES_WIRE_DIALECT_H_
