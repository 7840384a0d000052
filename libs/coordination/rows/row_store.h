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

/** Table for the discovery of VMs. Each VM writes its address at its start, and
    again when the store was restored from a copy. */
inline constexpr std::string_view kVmTable = "magnoliareel-vms";

/** One row of a table. */
struct StoredRow {
  std::string key;
  std::string value;
  /** Version of the store at the row's last change. */
  uint64_t version = 0;
  /** The row was deleted at this version. */
  bool removed = false;
};

/** Rows as of one version of the store. */
struct StoredRows {
  std::vector<StoredRow> rows;
  /** Version of the store, from which Follow continues. */
  uint64_t version = 0;
  /** More rows follow the last one; List returns them after its key. */
  bool has_more = false;
};

/** Called with rows, or with an error: Error::kHistoryLost if the store has
    dropped changes since the given version or was restored from a copy,
    Error::kVersionConflict if a condition did not hold,
    Error::kStoreUnavailable if the store refused, Error::kUnreachable or
    Error::kAnswerLost if it did not answer. */
using RowsCompletion = std::function<void(std::error_code, StoredRows)>;

/** A linearizable store of rows in tables, reached asynchronously. Its versions
    grow with each change; one that was given out is not given out again.

    - List: returns the rows of a table after a key, in key order.
    - Get: returns the row of a key, if it exists.
    - Follow: returns rows that changed after a version. Answers as soon as a
      row has changed, or without rows after the wait. A call replaces the
      pending one of the same table, whose completion is not called: it may wait
      for an answer that was lost.
    - Poll: returns rows that changed after a version, at once. Uses a new
      connection, since one on which an answer was lost delivers nothing more.
    - WriteIf: writes a row if its version is unchanged (0: if it does not
      exist). The version in the answer is the row's new version.
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
  store.Poll(text, version, done);
  store.WriteIf(text, text, text, version, done);
  store.Put(text, text, text, done);
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_COORDINATION_ROWS_ROW_STORE_H_
