#ifndef MAGNOLIAREEL_COORDINATION_ROWS_ROW_STORE_H_
#define MAGNOLIAREEL_COORDINATION_ROWS_ROW_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** The table in which VMs find each other; each writes its address once, at its
    start. */
inline constexpr std::string_view kVmTable = "magnoliareel-vms";

/** One row of a table. */
struct StoredRow {
  std::string key;
  std::string value;
  /** Version of the store at the row's last change. */
  uint64_t version = 0;
  /** The row was deleted at that version. */
  bool removed = false;
};

/** Rows as of one version of the store. */
struct StoredRows {
  std::vector<StoredRow> rows;
  /** The store's version; where to continue from. */
  uint64_t version = 0;
  /** There are rows behind the last one. */
  bool has_more = false;
};

/** Told of rows, or why there are none: Error::kHistoryLost if changes since
    the given version are not known any more, Error::kVersionConflict if a
    condition did not hold, Error::kStoreUnavailable if the store refused,
    Error::kUnreachable or Error::kAnswerLost if it did not answer. */
using RowsCompletion = std::function<void(std::error_code, StoredRows)>;

/** A linearizable store of rows in tables, reached asynchronously.

    - List: rows of a table behind a key, in key order.
    - Get: the row of a key, if there is one.
    - Follow: rows that changed after a version; answers as soon as there is
      one, or with none after the wait.
    - WriteIf: writes a row if it still has a version (0: if it is absent); the
      answer's version is the row's new version.
    - Put: writes a row unconditionally.

    @see TableWatch, DutyClaims
*/
template <class S>
concept RowStore = requires(S& store,
                            std::string_view text,
                            uint64_t version,
                            Duration wait,
                            RowsCompletion done) {
  store.List(text, text, done);
  store.Get(text, text, done);
  store.Follow(text, version, wait, done);
  store.WriteIf(text, text, text, version, done);
  store.Put(text, text, text, done);
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_COORDINATION_ROWS_ROW_STORE_H_
