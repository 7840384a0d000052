#ifndef MAGNOLIAREEL_COORDINATION_WATCHES_TABLE_WATCH_H_
#define MAGNOLIAREEL_COORDINATION_WATCHES_TABLE_WATCH_H_

#include <algorithm>
#include <concepts>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "coordination/rows/row_store.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** Longest wait of one question for changes; most questions of a quiet table
    end with it, so a long one keeps the store's calls few. The store takes up
   to 30 s (users' pages). */
inline constexpr Duration kTableFollowTimeout = std::chrono::seconds(29);
/** Pause after an answer with changes: several often come together, and each
    answer is a priced call. Small beside the bounds, which count in seconds. */
inline constexpr Duration kMinFollowDelay = std::chrono::milliseconds(120);
/** While changes go on, as when endpoints register one by one, the pause
    doubles up to this, a small part of the bounds on configuration (6 s). */
inline constexpr Duration kMaxFollowDelay = std::chrono::milliseconds(960);
/** Changes further apart than this are news again and told at once. */
inline constexpr Duration kFollowQuietPeriod = std::chrono::seconds(2);
/** Pause after a failed call: first, and at most. The store recovers within
    seconds, and each call is priced. */
inline constexpr Duration kMinStoreBackoff = std::chrono::milliseconds(150);
inline constexpr Duration kMaxStoreBackoff = std::chrono::milliseconds(1200);

/** What a table watch needs around it: a way to wait, and somebody to tell. */
template <class O>
concept TableWatchDelegate = requires(O& delegate,
                                      std::string_view table,
                                      std::span<const StoredRow> rows,
                                      uint64_t version,
                                      std::error_code ec,
                                      Duration pause,
                                      std::function<void()> task) {
  /** All rows of the table, as of a version. */
  delegate.HandleListing(table, rows, version);
  /** Rows that changed, in order. */
  delegate.HandleChanges(table, rows, version);
  /** The store stopped answering. */
  delegate.HandleStoreLost(table, ec);
  /** It answers again. */
  delegate.HandleStoreRegained(table);
  /** The present moment. */
  { delegate.Now() } -> std::convertible_to<TimePoint>;
  /** Calls a function once, later. */
  delegate.After(pause, task);
};

/** Follows one table: reads it once, then asks for changes; reads it again when
    the store has dropped the history in between.

    @tparam S  @see RowStore
    @tparam O  @see TableWatchDelegate
*/
template <RowStore S, class O>
class TableWatch {
 public:
  /** @param store     outlives the watch
      @param delegate  outlives the watch
      @param table     the table's name
  */
  TableWatch(S& store, O& delegate, std::string_view table)
      : store_(store), delegate_(delegate), table_(table) {
    // Checked here as O is not complete where it declares its watch.
    static_assert(TableWatchDelegate<O>);
  }

  /** Begins to follow. */
  void Start() { List(); }
  /** @returns true while the store answers */
  bool IsConnected() const { return connected_; }

 private:
  void List() {
    listing_.clear();
    ListAfter("");
  }

  void ListAfter(std::string_view key) {
    store_.List(table_, key, [this](std::error_code ec, StoredRows answer) {
      if (ec) {
        HandleFailure(ec, [this] { List(); });
        return;
      }
      std::move(answer.rows.begin(), answer.rows.end(),
                std::back_inserter(listing_));
      if (answer.has_more && !answer.rows.empty()) {
        // Pages are of different moments; the changes since the first page
        // follow from its version.
        first_version_ = first_version_ == 0 ? answer.version : first_version_;
        ListAfter(listing_.back().key);
        return;
      }
      HandleSuccess();
      version_ = first_version_ == 0 ? answer.version : first_version_;
      first_version_ = 0;
      delegate_.HandleListing(table_, listing_, version_);
      listing_.clear();
      Follow();
    });
  }

  void Follow() {
    store_.Follow(table_, version_, kTableFollowTimeout,
                  [this](std::error_code ec, StoredRows answer) {
                    if (ec == Error::kHistoryLost) {
                      HandleSuccess();
                      List();
                      return;
                    }
                    if (ec) {
                      HandleFailure(ec, [this] { Follow(); });
                      return;
                    }
                    HandleSuccess();
                    version_ = std::max(version_, answer.version);
                    if (answer.rows.empty()) {
                      Follow();
                      return;
                    }
                    delegate_.HandleChanges(table_, answer.rows, version_);
                    delegate_.After(NextFollowDelay(), [this] { Follow(); });
                  });
  }

  Duration NextFollowDelay() {
    const TimePoint now = delegate_.Now();
    const bool is_burst = now - changed_at_ < kFollowQuietPeriod;
    changed_at_ = now;
    follow_delay_ = is_burst ? std::min(2 * follow_delay_, kMaxFollowDelay)
                             : kMinFollowDelay;
    return follow_delay_;
  }

  void HandleSuccess() {
    backoff_ = kMinStoreBackoff;
    if (!std::exchange(connected_, true)) {
      delegate_.HandleStoreRegained(table_);
    }
  }

  void HandleFailure(std::error_code ec, std::function<void()> retry) {
    if (std::exchange(connected_, false) || !loss_reported_) {
      loss_reported_ = true;
      delegate_.HandleStoreLost(table_, ec);
    }
    delegate_.After(backoff_, std::move(retry));
    backoff_ = std::min(backoff_ * 2, kMaxStoreBackoff);
  }

  S& store_;
  O& delegate_;
  const std::string table_;
  std::vector<StoredRow> listing_;
  uint64_t version_ = 0;
  uint64_t first_version_ = 0;
  Duration backoff_ = kMinStoreBackoff;
  Duration follow_delay_ = kMinFollowDelay;
  TimePoint changed_at_;
  bool connected_ = false;
  bool loss_reported_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_COORDINATION_WATCHES_TABLE_WATCH_H_
