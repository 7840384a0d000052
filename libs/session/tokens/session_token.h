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
  /** Point of the write; held by a majority of the group. */
  LogPoint point;
  /** The primary that ran it; tells a fresh entry where not to read. */
  EndpointId primary;
  /** Endpoints known to hold it; tells a fresh entry where to read. */
  std::vector<EndpointId> holders;

  auto operator<=>(const GroupWatermark&) const = default;
};

/** An open transaction and the place that holds its connection. */
struct TransactionHandle {
  /** Name given by the pooler. */
  TransactionId transaction;
  /** The VM whose pooler holds the connection. */
  VmId vm;
  /** The group it runs in. */
  GroupId group;
  /** The endpoint it runs on. */
  EndpointId endpoint;

  auto operator<=>(const TransactionHandle&) const = default;
};

/** Everything that any entry needs to continue a session; travels with the
    caller and is kept nowhere else.

    @see TokenSealer
*/
struct SessionToken {
  /** The session. */
  SessionId session;
  /** The only caller that may use it. */
  CallerId caller;
  /** The service it was opened with. */
  ServiceId service;
  /** Last acknowledged write per group, ordered by group. */
  std::vector<GroupWatermark> watermarks;
  /** The open transaction, if any. */
  std::optional<TransactionHandle> transaction;

  auto operator<=>(const SessionToken&) const = default;

  /** @param group  a group of the service
      @returns      the last acknowledged write there; a mark at the log's
                    beginning if there was none
  */
  GroupWatermark GetWatermark(const GroupId& group) const;

  /** Notes an acknowledged write; one that is older than the group's mark
      changes nothing.

      @param mark  where it is and who holds it
  */
  void RaiseWatermark(GroupWatermark mark);
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_SESSION_TOKENS_SESSION_TOKEN_H_
