#ifndef MAGNOLIAREEL_FAILOVER_GRANTS_GRANT_STORE_H_
#define MAGNOLIAREEL_FAILOVER_GRANTS_GRANT_STORE_H_

#include <concepts>
#include <functional>
#include <system_error>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** Result of reading or writing a group's grants in the platform's table. */
struct GrantReply {
  /** kStoreUnavailable if the operation may or may not have taken effect,
      kVersionConflict if another write came first; empty on success. */
  std::error_code ec;
  /** The group's row; the default value if the table has none. */
  GrantRow row;
  /** Version of the row; 0 if the table has none. */
  uint64_t version = 0;
};

/** Receives the result of an operation, on the control thread. */
using GrantCompletion = std::function<void(GrantReply)>;

/** Concept of a store for the rows of granted terms in the platform's table.

    Each operation invokes `done` exactly once, and never before it returns.
    `WriteGrants` fails unless the row still has the expected version.
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
