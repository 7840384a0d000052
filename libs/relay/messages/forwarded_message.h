#ifndef MAGNOLIAREEL_RELAY_MESSAGES_FORWARDED_MESSAGE_H_
#define MAGNOLIAREEL_RELAY_MESSAGES_FORWARDED_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/core.h"
#include "relay/messages/caller_message.h"
#include "relay/messages/endpoint_requirement.h"

namespace magnoliareel {

/** Limits and requirements of a statement that one VM forwards to another. */
struct ForwardingHeader {
  EndpointRequirement requirement = EndpointRequirement::kRead;
  /** Log point that the endpoint must have applied, if any. */
  std::optional<LogPoint> required_point;
  /** Priority of the caller's route; 0 is the highest. */
  int priority = 0;
  /** Time until the statement's deadline. A time and not a moment, because the
      VMs' clocks are not synchronized. */
  Duration time_left{};
  /** Configuration version under which the statement was accepted. */
  uint64_t config_version = 0;
  /** The caller's team; empty if it has none. */
  std::string_view team;
};

/** Kind of a message from one VM to another. */
enum class ForwardedMessageKind {
  /** Opens a session at one endpoint. */
  kOpen,
  /** A caller's statement. */
  kStatement,
  /** Changes the state of the session; not a caller's statement. */
  kSessionState,
  /** Asks whether the VM is responding. */
  kPing,
};

/** A decoded message from another VM. The views refer to the received bytes.
 */
struct ForwardedMessage {
  ForwardedMessageKind kind = ForwardedMessageKind::kPing;
  /** kOpen: the service and its endpoint. */
  std::string_view service;
  std::string_view endpoint;
  /** kStatement. */
  ForwardingHeader header;
  /** kStatement and kSessionState. */
  CallerMessage message;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_MESSAGES_FORWARDED_MESSAGE_H_
