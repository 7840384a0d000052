#ifndef MAGNOLIAREEL_RELAY_MESSAGES_FORWARDING_DIALECT_H_
#define MAGNOLIAREEL_RELAY_MESSAGES_FORWARDING_DIALECT_H_

#include <concepts>
#include <string>
#include <string_view>

#include "relay/messages/forwarded_message.h"
#include "relay/messages/wire_dialect.h"

namespace magnoliareel {

/** A WireDialect that also encodes the messages between VMs. Replies to them
    have the encoding of replies to callers.

    - DecodeForwarded: decodes one whole message; returns false if it is
      malformed.
    - AppendForwardingOpen: opens a session at an endpoint; takes its service
      and its id.
    - AppendForwardingHeader: precedes the message of a caller's statement.
    - AppendPing, AppendPong: ask another VM for a sign of life, and give it.
    - IsPong: returns whether a message is the reply to a ping.
*/
template <class D>
concept ForwardingDialect = WireDialect<D> &&
    requires(std::string& out,
             std::string_view text,
             const ForwardingHeader& header,
             ForwardedMessage& message) {
  { D::DecodeForwarded(text, message) } -> std::same_as<bool>;
  D::AppendForwardingOpen(out, text, text);
  D::AppendForwardingHeader(out, header);
  D::AppendPing(out);
  D::AppendPong(out);
  { D::IsPong(text) } -> std::same_as<bool>;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_MESSAGES_FORWARDING_DIALECT_H_
