#ifndef MAGNOLIAREEL_COORDINATION_ROWS_LIST_ALL_ROWS_H_
#define MAGNOLIAREEL_COORDINATION_ROWS_LIST_ALL_ROWS_H_

#include <iterator>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "coordination/rows/row_store.h"

namespace magnoliareel {

/** Lists a table page by page. @see ListAllRows

    @tparam S  @see RowStore
*/
template <RowStore S>
class RowLister : public std::enable_shared_from_this<RowLister<S>> {
 public:
  RowLister(S& store, std::string_view table, RowsCompletion done)
      : store_(store), table_(table), done_(std::move(done)) {}

  /** Requests the rows after a key. The object keeps itself alive until the
      listing ends. */
  void ListAfter(const std::string& key) {
    store_.List(
        table_, key,
        [self = this->shared_from_this()](std::error_code ec, StoredRows page) {
          self->HandlePage(ec, std::move(page));
        });
  }

 private:
  void HandlePage(std::error_code ec, StoredRows page) {
    if (ec) {
      done_(ec, {});
      return;
    }
    if (listing_.rows.empty()) {
      listing_.version = page.version;
    }
    const bool is_last = !page.has_more || page.rows.empty();
    std::move(page.rows.begin(), page.rows.end(),
              std::back_inserter(listing_.rows));
    if (is_last) {
      done_({}, std::move(listing_));
    } else {
      ListAfter(listing_.rows.back().key);
    }
  }

  S& store_;
  const std::string table_;
  const RowsCompletion done_;
  StoredRows listing_;
};

/** Lists all rows of a table once. The pages of a large table have different
    versions; TableWatch follows a table.

    @param store  must outlive the listing
    @param table  name of the table
    @param done   receives all rows and the version of the first page, or the
                  error of the first call that failed and no rows
*/
template <RowStore S>
void ListAllRows(S& store, std::string_view table, RowsCompletion done) {
  std::make_shared<RowLister<S>>(store, table, std::move(done))->ListAfter({});
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_COORDINATION_ROWS_LIST_ALL_ROWS_H_
