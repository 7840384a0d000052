#ifndef MAGNOLIAREEL_FAILOVER_GRANTS_GRANT_STORE_H_
#define MAGNOLIAREEL_FAILOVER_GRANTS_GRANT_STORE_H_

#include <concepts>
#include <functional>
#include <system_error>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** A group's grants as read from or written to the platform's table. */
struct GrantReply {
  /** kStoreUnavailable: it may or may not have taken effect; kVersionConflict:
      another write came first; empty on success. */
  std::error_code ec;
  /** The row; the default value if there is none. */
  GrantRow row;
  /** Version of the row; 0 if there is none. */
  uint64_t version = 0;
};

/** Receives the end of an operation, on the control thread. */
using GrantCompletion = std::function<void(GrantReply)>;

/** The rows of granted terms in the platform's table.

    Calls back exactly once, never before the call returns.
*/
template <class T>
concept GrantStore = requires(T& store,
                              const GroupId& group,
                              uint64_t expected_version,
                              const GrantRow& row,
                              GrantCompletion done) {
  store.ReadGrants(group, done);
  store.WriteGrants(group, expected_version, row, done);
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_FAILOVER_GRANTS_GRANT_STORE_H_
