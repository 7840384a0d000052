#ifndef MAGNOLIAREEL_COORDINATION_WATCHES_TABLE_WATCH_H_
#define MAGNOLIAREEL_COORDINATION_WATCHES_TABLE_WATCH_H_

#include <algorithm>
#include <concepts>
#include <optional>
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

/** A change that a long poll delivers counts as delivered at once if the table
    was known to be up to date this long before: the longest interval between
    two checks (kFeedCheckInterval and kFeedCheckSpread), and half a second for
    a call. */
inline constexpr Duration kMaxPromptPeriod = std::chrono::seconds(3);

/** Interface through which TableWatch reaches its owner: the clock, timers and
    notifications. */
template <class D>
concept TableWatchDelegate = requires(D& delegate,
                                      std::string_view table,
                                      std::span<const StoredRow> rows,
                                      uint64_t version,
                                      ChangeTime changed,
                                      std::error_code ec,
                                      Duration pause,
                                      std::function<void()> task) {
  /** Called with all rows of the table, as of a version, and when those that
      are new can have changed. */
  delegate.HandleListing(table, rows, version, changed);
  /** Called with the rows that changed, in order, and when they can have
      changed. */
  delegate.HandleChanges(table, rows, version, changed);
  /** Called when the store has stopped answering. */
  delegate.HandleStoreLost(table, ec);
  /** Called when the store answers again. */
  delegate.HandleStoreRegained(table);
  /** Called when a check has found changes that the long poll did not deliver;
      the time is that of the latest knowledge before. */
  delegate.HandleFeedStalled(table, changed);
  /** Returns the current time. */
  { delegate.Now() } -> std::convertible_to<TimePoint>;
  /** Calls a function once, later. */
  delegate.After(pause, task);
};

/** Follows one table: lists its rows once, then polls for changes. Lists the
    rows again if the store has dropped the changes since the last poll.

    A connection on which an answer was lost stays open and delivers nothing
    more, which a long poll shows only when its timeout ends. Check() finds out
    earlier what was missed.

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

  /** Asks for changes on a new connection, beside the pending long poll. If
      there are any, the long poll is replaced by a new one; if there is no
      answer, the store counts as lost. Does nothing while the store is lost or
      asked in another way, or while a check is pending.

      @param confirmed  called if the answer shows that no change is missing
  */
  void Check(std::function<void()> confirmed) {
    // Between two long polls, nothing is pending.
    const bool is_following = connected_ && (pending_ == Question::kLongPoll ||
                                             pending_ == Question::kNone);
    if (!is_following || std::exchange(is_checking_, true)) {
      return;
    }
    store_.Poll(table_, version_,
                [this, attempt = attempt_, asked_at = delegate_.Now(),
                 confirmed = std::move(confirmed)](std::error_code ec,
                                                   const StoredRows& answer) {
                  is_checking_ = false;
                  HandleCheck(attempt, asked_at, ec, answer, confirmed);
                });
  }

  /** Replaces the pending long poll by a question on a new connection, because
      another VM knows of a newer change.

      @returns false if no long poll is pending, since the store is lost or
               being asked in another way
  */
  bool Renew() {
    if (pending_ != Question::kLongPoll) {
      return false;
    }
    Follow(kTableProbeTimeout);
    return true;
  }

  /** Records that no change is missing.

      @param at       time at which the store was asked
      @param version  version of the store in its answer
  */
  void RecordConfirmed(TimePoint at, uint64_t version) {
    confirmed_at_ = std::max(at, confirmed_at_.value_or(at));
    version_ = std::max(version_, version);
  }

  /** @returns true while the store answers */
  bool IsConnected() const { return connected_; }
  /** @returns the version of the store as of which the table is known */
  uint64_t GetVersion() const { return version_; }
  /** @returns the time before which no change is missing: when the latest
               question that was answered had been sent; none before the first
               answer */
  std::optional<TimePoint> GetConfirmedAt() const { return confirmed_at_; }

 private:
  /** What the store has been asked and not answered yet, apart from checks. */
  enum class Question { kNone, kListing, kProbe, kLongPoll };

  void List() {
    ++attempt_;
    listing_.clear();
    first_version_ = 0;
    pending_ = Question::kListing;
    listing_asked_at_ = delegate_.Now();
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
      const ChangeTime changed{confirmed_at_, false};
      RecordConfirmed(listing_asked_at_, version_);
      delegate_.HandleListing(table_, listing_, version_, changed);
      listing_.clear();
      Follow();
    });
  }

  void Follow(Duration timeout = kTableFollowTimeout) {
    const uint64_t attempt = ++attempt_;
    pending_ =
        timeout == kTableProbeTimeout ? Question::kProbe : Question::kLongPoll;
    store_.Follow(table_, version_, timeout,
                  [this, attempt, asked_at = delegate_.Now()](
                      std::error_code ec, const StoredRows& answer) {
                    if (attempt == attempt_) {
                      HandleAnswer(asked_at, ec, answer);
                    }
                  });
  }

  void HandleAnswer(TimePoint asked_at,
                    std::error_code ec,
                    const StoredRows& answer) {
    const bool is_prompt =
        std::exchange(pending_, Question::kNone) == Question::kLongPoll &&
        confirmed_at_ && delegate_.Now() - *confirmed_at_ <= kMaxPromptPeriod;
    // A check that was sent before knows less.
    ++attempt_;
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
    const ChangeTime changed = is_prompt ? ChangeTime{delegate_.Now(), true}
                                         : ChangeTime{confirmed_at_, false};
    RecordConfirmed(asked_at, answer.version);
    if (answer.rows.empty()) {
      Follow();
      return;
    }
    delegate_.HandleChanges(table_, answer.rows, version_, changed);
    RunLater(NextFollowDelay(), [this] { Follow(); });
  }

  void HandleCheck(uint64_t attempt,
                   TimePoint asked_at,
                   std::error_code ec,
                   const StoredRows& answer,
                   const std::function<void()>& confirmed) {
    // Otherwise the long poll has been answered or replaced meanwhile.
    const bool is_latest = attempt == attempt_;
    if (ec) {
      if (is_latest && ec == Error::kHistoryLost) {
        List();
      } else if (is_latest) {
        HandleFailure(ec, [this] { Follow(kTableProbeTimeout); });
      }
      return;
    }
    if (!answer.rows.empty() && answer.version > version_) {
      if (pending_ == Question::kListing) {
        return;
      }
      const ChangeTime changed{confirmed_at_, false};
      const bool has_stalled = is_latest && pending_ == Question::kLongPoll;
      version_ = answer.version;
      if (has_stalled) {
        delegate_.HandleFeedStalled(table_, changed);
      }
      delegate_.HandleChanges(table_, answer.rows, version_, changed);
      if (has_stalled) {
        Follow();
      }
    }
    RecordConfirmed(asked_at, answer.version);
    confirmed();
  }

  // Runs a task unless the store is asked in another way before.
  void RunLater(Duration delay, std::function<void()> task) {
    delegate_.After(delay, [this, attempt = attempt_, task = std::move(task)] {
      if (attempt == attempt_) {
        task();
      }
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
    // An answer to a question that is still pending comes too late.
    ++attempt_;
    pending_ = Question::kNone;
    if (std::exchange(connected_, false) || !loss_reported_) {
      loss_reported_ = true;
      delegate_.HandleStoreLost(table_, ec);
    }
    RunLater(backoff_, std::move(retry));
    backoff_ = std::min(backoff_ * 2, kMaxStoreBackoff);
  }

  S& store_;
  D& delegate_;
  const std::string table_;
  std::vector<StoredRow> listing_;
  TimePoint listing_asked_at_;
  uint64_t version_ = 0;
  uint64_t first_version_ = 0;
  /** Number of the question whose answer counts; a later one replaces it. */
  uint64_t attempt_ = 0;
  std::optional<TimePoint> confirmed_at_;
  Duration backoff_ = kMinStoreBackoff;
  Duration follow_delay_ = kMinFollowDelay;
  TimePoint changed_at_;
  bool connected_ = false;
  bool loss_reported_ = false;
  Question pending_ = Question::kNone;
  bool is_checking_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_COORDINATION_WATCHES_TABLE_WATCH_H_
