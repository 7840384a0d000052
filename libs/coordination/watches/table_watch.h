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

/** Long-poll timeout of a request for changes. Most requests on a quiet table
    end with it, so a long timeout keeps the number of store calls low. The
    store allows up to 30 s (platform documentation). */
inline constexpr Duration kTableFollowTimeout = std::chrono::seconds(29);
/** Delay after an answer with changes. Changes often come in groups, and the
    store charges for each call. The delay is small compared with the bounds on
    propagation, which are several seconds. */
inline constexpr Duration kMinFollowDelay = std::chrono::milliseconds(120);
/** The delay doubles up to this value while changes continue, such as when
    endpoints register one by one. It is a small part of the bound on the
    propagation of a configuration (6 s). */
inline constexpr Duration kMaxFollowDelay = std::chrono::milliseconds(960);
/** After a period of this length without changes, the delay is reset to
    kMinFollowDelay. */
inline constexpr Duration kFollowQuietPeriod = std::chrono::seconds(2);
/** Long-poll timeout of the first request after a failed one: its answer shows
    at once whether the store was restored from a copy meanwhile. */
inline constexpr Duration kTableProbeTimeout = Duration(0);
/** First and longest backoff after a failed call. The store recovers within
    seconds, and it charges for each call. */
inline constexpr Duration kMinStoreBackoff = std::chrono::milliseconds(150);
inline constexpr Duration kMaxStoreBackoff = std::chrono::milliseconds(1200);

/** Interface through which TableWatch reaches its owner: the clock, timers and
    notifications. */
template <class D>
concept TableWatchDelegate = requires(D& delegate,
                                      std::string_view table,
                                      std::span<const StoredRow> rows,
                                      uint64_t version,
                                      std::error_code ec,
                                      Duration pause,
                                      std::function<void()> task) {
  /** Called with all rows of the table, as of a version. */
  delegate.HandleListing(table, rows, version);
  /** Called with the rows that changed, in order. */
  delegate.HandleChanges(table, rows, version);
  /** Called when the store has stopped answering. */
  delegate.HandleStoreLost(table, ec);
  /** Called when the store answers again. */
  delegate.HandleStoreRegained(table);
  /** Returns the current time. */
  { delegate.Now() } -> std::convertible_to<TimePoint>;
  /** Calls a function once, later. */
  delegate.After(pause, task);
};

/** Follows one table: lists its rows once, then polls for changes. Lists the
    rows again if the store has dropped the changes since the last poll.

    @tparam S  @see RowStore
    @tparam D  @see TableWatchDelegate
*/
template <RowStore S, class D>
class TableWatch {
 public:
  /** @param store     must outlive the watch
      @param delegate  must outlive the watch
      @param table     name of the table
  */
  TableWatch(S& store, D& delegate, std::string_view table)
      : store_(store), delegate_(delegate), table_(table) {
    // Checked here because D is incomplete where it declares its TableWatch
    // member.
    static_assert(TableWatchDelegate<D>);
  }

  /** Starts to follow the table. */
  void Start() { List(); }
  /** @returns true while the store answers */
  bool IsConnected() const { return connected_; }

 private:
  void List() {
    listing_.clear();
    first_version_ = 0;
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
        // The pages of a listing have different versions. Following from the
        // version of the first page returns all changes since then.
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

  void Follow(Duration timeout = kTableFollowTimeout) {
    store_.Follow(table_, version_, timeout,
                  [this](std::error_code ec, StoredRows answer) {
                    if (ec == Error::kHistoryLost) {
                      HandleSuccess();
                      List();
                      return;
                    }
                    if (ec) {
                      HandleFailure(ec, [this] { Follow(kTableProbeTimeout); });
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
  D& delegate_;
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
