#ifndef MAGNOLIAREEL_SESSION_TOKENS_SESSION_TOKEN_H_
#define MAGNOLIAREEL_SESSION_TOKENS_SESSION_TOKEN_H_

#include <optional>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** The last acknowledged write of a session in one group. */
struct GroupWatermark {
  /** The group. */
  GroupId group;
  /** Point of the write; a majority of the group holds it. */
  LogPoint point;
  /** The primary that ran the write. An entry without hints prefers the other
      endpoints for reads. */
  EndpointId primary;
  /** Endpoints known to hold the write. Lets an entry without hints choose
      where to read. */
  std::vector<EndpointId> holders;

  auto operator<=>(const GroupWatermark&) const = default;
};

/** An open transaction and the pooler and endpoint that run it. */
struct TransactionHandle {
  /** Identifier assigned by the pooler. */
  TransactionId transaction;
  /** The VM whose pooler holds the connection. */
  VmId vm;
  /** The group it runs in. */
  GroupId group;
  /** The endpoint it runs on. */
  EndpointId endpoint;

  auto operator<=>(const TransactionHandle&) const = default;
};

/** Complete state of a session, so that any entry can continue it. The caller
    stores the token and sends it with each request; no other copy is kept.

    @see TokenSealer
*/
struct SessionToken {
  /** The session. */
  SessionId session;
  /** The only caller that may use the token. */
  CallerId caller;
  /** The service that the session was opened for. */
  ServiceId service;
  /** Last acknowledged write per group, ordered by group. */
  std::vector<GroupWatermark> watermarks;
  /** The open transaction, if any. */
  std::optional<TransactionHandle> transaction;

  auto operator<=>(const SessionToken&) const = default;

  /** @param group  a group of the service
      @returns      the session's last acknowledged write in the group; a
                    watermark at the beginning of the log if there was none
  */
  GroupWatermark GetWatermark(const GroupId& group) const;

  /** Records an acknowledged write; ignores one that is not newer than the
      group's watermark.

      @param watermark  the write
  */
  void RaiseWatermark(GroupWatermark watermark);
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_SESSION_TOKENS_SESSION_TOKEN_H_
