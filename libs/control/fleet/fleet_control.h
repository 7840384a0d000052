#ifndef MAGNOLIAREEL_CONTROL_FLEET_FLEET_CONTROL_H_
#define MAGNOLIAREEL_CONTROL_FLEET_FLEET_CONTROL_H_

#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control/peers/drain_notice.h"
#include "control/peers/feed_confirmation.h"
#include "coordination/coordination.h"
#include "core/core.h"
#include "directory/directory.h"
#include "forwarding/holders/holder_table.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** Provides the names of the configuration and directory tables and parses
    their rows. */
template <class C>
concept FleetRowCodec = requires(std::string_view text,
                                 RouteTable& routes,
                                 EndpointEntry& entry,
                                 Findings& findings) {
  { C::GetConfigTable() } -> std::convertible_to<std::string_view>;
  { C::GetConfigKey() } -> std::convertible_to<std::string_view>;
  { C::GetEndpointTable() } -> std::convertible_to<std::string_view>;
  C::ParseRoutes(text, routes, findings);
  { C::HideKeys(text) } -> std::same_as<std::string>;
  C::ParseEndpoint(text, text, entry, findings);
};

/** Interface through which FleetControl reaches the node that owns it. */
template <class D>
concept FleetDelegate = requires(D& delegate,
                                 std::shared_ptr<const FleetView> view,
                                 const FeedConfirmation& confirmation,
                                 Duration pause,
                                 std::function<void()> task) {
  { delegate.Now() } -> std::same_as<TimePoint>;
  /** Calls a function once, later, on the control thread. */
  delegate.After(pause, task);
  /** Passes a new view to the traffic threads. */
  delegate.Publish(view);
  /** Sends a confirmation, whose address the node fills in, to all live VMs. */
  delegate.SendFeedConfirmation(confirmation);
};

/** Follows the configuration and the directory, and publishes the state in
    force as a FleetView.

    Checks at intervals that no change of them is missing. The VMs share these
    checks: one of them asks the store and tells the others, so the number of
    calls does not grow with that of the VMs, except while they start. A VM that
    hears nothing asks itself, for example because the others are frozen, can't
    reach the store or are cut off.

    @tparam S  @see RowStore
    @tparam C  @see FleetRowCodec
    @tparam D  @see FleetDelegate
*/
template <RowStore S, FleetRowCodec C, class D>
class FleetControl {
 public:
  /** Time within which changes made during an outage of the store are known
      after it: the longest backoff, and a call. */
  static constexpr Duration kStoreSettlePeriod = std::chrono::seconds(2);
  /** Longest wait for a read of the directory. */
  static constexpr Duration kReadTimeout = std::chrono::milliseconds(500);

  /** @param store     must outlive this object
      @param delegate  must outlive this object
      @param self      this VM
  */
  FleetControl(S& store, D& delegate, VmId self)
      : store_(store),
        delegate_(delegate),
        random_(std::hash<std::string>{}(self.value)),
        holders_(std::move(self)),
        config_watch_(store, *this, C::GetConfigTable()),
        endpoint_watch_(store, *this, C::GetEndpointTable()),
        lost_at_(delegate.Now()),
        regained_at_(lost_at_) {
    // Checked here because D is incomplete where it declares its FleetControl
    // member.
    static_assert(FleetDelegate<D>);
  }

  /** Starts to follow both tables. */
  void Start() {
    config_watch_.Start();
    endpoint_watch_.Start();
    ReviewFeeds();
  }

  /** @returns true if a configuration is in force and an endpoint is known */
  bool IsUsable() const {
    return routes_.Get()->version > 0 && !endpoints_.List().empty();
  }
  /** @returns true while both tables can be read from the store */
  bool IsStoreConnected() const {
    return config_watch_.IsConnected() && endpoint_watch_.IsConnected();
  }
  /** @returns the configuration in force; never null */
  const std::shared_ptr<const RouteTable>& GetRoutes() const {
    return routes_.Get();
  }
  /** @returns the endpoints in use */
  const EndpointRegistry& GetEndpoints() const { return endpoints_; }
  /** @returns the row of the configuration in force, for peers; without keys of
               callers */
  const StoredRow& GetConfigRow() const { return config_row_; }
  /** @returns the rows of the directory by key, for peers */
  const std::map<std::string, StoredRow>& GetEndpointRows() const {
    return endpoint_rows_;
  }
  /** @param endpoint  the endpoint to look up
      @returns          whether the directory lists it at present, unlike one
                        that GetEndpoints() keeps for a grace period */
  bool IsListed(const EndpointId& endpoint) const {
    return endpoint_rows_.contains(endpoint.value);
  }
  /** @returns the newest version of any row of the directory */
  uint64_t GetEndpointsVersion() const { return endpoints_version_; }

  /** Reads the directory from the store and applies it.

      @param done  called once within kReadTimeout: success if the directory
                   then lists every endpoint that had registered before the
                   call; Error::kStoreUnavailable also if the store was away a
                   moment ago, since endpoints register again, or for the first
                   time, within kStoreSettlePeriod
  */
  void ReadEndpoints(std::function<void(std::error_code)> done) {
    const auto pending =
        std::make_shared<std::function<void(std::error_code)>>(std::move(done));
    const auto finish = [pending](std::error_code ec) {
      if (const auto call = std::exchange(*pending, nullptr)) {
        call(ec);
      }
    };
    // An answer that comes later was held up by an outage that may have kept
    // endpoints from registering.
    delegate_.After(kReadTimeout,
                    [finish] { finish(Error::kStoreUnavailable); });
    ListAllRows(
        store_, C::GetEndpointTable(),
        [this, finish](std::error_code ec, const StoredRows& listing) {
          if (!ec) {
            HandleEndpointListing(listing.rows, listing.version, "store",
                                  {endpoint_watch_.GetConfirmedAt(), false});
          }
          const bool is_settled =
              !store_lost_ &&
              delegate_.Now() - regained_at_ >= kStoreSettlePeriod;
          finish(ec || !is_settled ? make_error_code(Error::kStoreUnavailable)
                                   : std::error_code{});
        });
  }

  /** Sets the live VMs in the published view.

      @param live        number of live VMs, including this one
      @param candidates  those that accept forwarded statements
  */
  void SetLiveVms(uint32_t live, std::span<const HolderCandidate> candidates) {
    const bool changed = holders_.SetCandidates(candidates);
    if (live != std::exchange(live_vms_, live) || changed) {
      ChooseNextFeedCheck();
      Publish();
    }
  }

  /** @param config     a version of the configuration
      @param endpoints  newest version of any row of the directory
      @returns          true if this VM does not know one of them */
  bool IsBehind(uint64_t config, uint64_t endpoints) const {
    return config > routes_.Get()->version ||
           endpoints >
               std::max(endpoints_version_, endpoint_watch_.GetVersion());
  }

  /** Records that another VM has asked the store; does nothing if that VM knows
      more than this one.

      @param confirmation  what the other VM knows */
  void RecordConfirmation(const FeedConfirmation& confirmation) {
    if (IsBehind(confirmation.config_version, confirmation.endpoints_version)) {
      return;
    }
    const TimePoint asked_at = delegate_.Now() - confirmation.age;
    config_watch_.RecordConfirmed(asked_at, confirmation.store_version);
    endpoint_watch_.RecordConfirmed(asked_at, confirmation.store_version);
    ChooseNextFeedCheck();
  }

  /** @returns for each draining endpoint whose report a VM received as soon as
               it was made, how long ago that was; for the other VMs */
  std::vector<DrainNotice> ListDrains() const {
    std::vector<DrainNotice> drains;
    for (const EndpointEntry& it : endpoints_.List()) {
      if (it.is_drain_time_exact) {
        drains.push_back({it.id, static_cast<uint64_t>(it.started_at_ms),
                          delegate_.Now() - *it.draining_since});
      }
    }
    return drains;
  }

  /** Records how long endpoints have been draining.

      @param notices  from another VM; those on endpoints that this VM has not
                      listed yet are kept until the first listing */
  void HandleDrainNotices(std::span<const DrainNotice> notices) {
    bool changed = false;
    for (const DrainNotice& it : notices) {
      const TimePoint since = delegate_.Now() - it.age;
      if (endpoints_version_ == 0) {
        ReportedDrain& early = early_drains_[it.endpoint];
        if (early.started_at_ms != it.started_at_ms || since < early.since) {
          early = {it.started_at_ms, since};
        }
      } else {
        changed = RecordDrain(it.endpoint, it.started_at_ms, since) || changed;
      }
    }
    if (changed) {
      PublishEndpoints();
    }
  }

  /** Asks the store for changes on new connections, because another VM knows
      of changes that this one has not received.

      @returns false if the store is lost or being asked already */
  bool RenewFeeds() {
    const bool renews_config = config_watch_.Renew();
    return endpoint_watch_.Renew() || renews_config;
  }

  /** @returns the time before which no change of either table is missing; none
               before both were listed */
  std::optional<TimePoint> GetConfirmedAt() const {
    const auto config = config_watch_.GetConfirmedAt();
    const auto endpoints = endpoint_watch_.GetConfirmedAt();
    return config && endpoints ? std::optional(std::min(*config, *endpoints))
                               : std::nullopt;
  }

  /** Applies rows that a peer has sent, if they are newer.

      @param config     the peer's configuration row, or null
      @param endpoints  the peer's directory rows
      @param version    the peer's version of the directory
  */
  void ApplyPeerState(const StoredRow* config,
                      std::span<const StoredRow> endpoints,
                      uint64_t version) {
    if (config != nullptr) {
      ApplyConfig(*config, "peer");
    }
    if (version > endpoints_version_) {
      HandleEndpointListing(endpoints, version, "peer",
                            {endpoint_watch_.GetConfirmedAt(), false});
      // The newest row may be one that was removed.
      endpoints_version_ = std::max(endpoints_version_, version);
    }
  }

  /** @see TableWatchDelegate */
  void HandleListing(std::string_view table,
                     std::span<const StoredRow> rows,
                     uint64_t version,
                     ChangeTime changed) {
    if (table == C::GetConfigTable()) {
      HandleChanges(table, rows, version, changed);
      return;
    }
    HandleEndpointListing(rows, version, "store", changed);
  }

  /** @see TableWatchDelegate */
  void HandleChanges(std::string_view table,
                     std::span<const StoredRow> rows,
                     uint64_t,
                     ChangeTime changed_at) {
    if (table == C::GetConfigTable()) {
      for (const StoredRow& it : rows) {
        if (it.key == C::GetConfigKey() && !it.removed) {
          ApplyConfig(it, "store");
        }
      }
      return;
    }
    bool changed = false;
    for (const StoredRow& it : rows) {
      changed = ApplyEndpointRow(it, "store", changed_at) || changed;
    }
    if (changed) {
      PublishEndpoints();
    }
  }

  /** @see TableWatchDelegate */
  void HandleFeedStalled(std::string_view table, ChangeTime changed) {
    LogEvent(Event::kFeedStalled, {{"table", std::string(table)},
                                   {"known_ms", FormatAge(changed.earliest)}});
  }

  /** @see TableWatchDelegate */
  void HandleStoreLost(std::string_view table, std::error_code ec) {
    if (!std::exchange(store_lost_, true)) {
      lost_at_ = delegate_.Now();
      LogEvent(Event::kStoreLost, {{"call", std::string(table)},
                                   {"error", ec.message()},
                                   {"known_ms", FormatAge(GetConfirmedAt())}});
    }
  }

  /** @see TableWatchDelegate */
  void HandleStoreRegained(std::string_view) {
    if (!IsStoreConnected() || !std::exchange(store_lost_, false)) {
      return;
    }
    regained_at_ = delegate_.Now();
    endpoints_.ExtendGracePeriods(regained_at_);
    ScheduleSweep();
    LogEvent(Event::kStoreRegained,
             {{"away_ms",
               std::to_string((regained_at_ - lost_at_).count() / 1000)}});
  }

  /** @see TableWatchDelegate */
  TimePoint Now() const { return delegate_.Now(); }
  /** @see TableWatchDelegate */
  void After(Duration pause, std::function<void()> task) {
    delegate_.After(pause, std::move(task));
  }

 private:
  /** @returns the time since then in milliseconds, or "none" */
  std::string FormatAge(std::optional<TimePoint> at) const {
    return at ? std::to_string((delegate_.Now() - *at).count() / 1000)
              : std::string("none");
  }

  /** Checks the tables if that is due, and schedules the next review. */
  void ReviewFeeds() {
    const TimePoint now = delegate_.Now();
    const TimePoint confirmed_at = GetConfirmedAt().value_or(now);
    Duration delay = confirmed_at + feed_check_delay_ - now;
    if (delay <= Duration(0)) {
      CheckFeeds();
      ChooseNextFeedCheck();
      delay = feed_check_delay_;
    }
    delegate_.After(delay, [this] { ReviewFeeds(); });
  }

  // Chosen anew for each check of any VM: otherwise the VMs that were not the
  // first would all check together at last.
  void ChooseNextFeedCheck() {
    feed_check_delay_ = ChooseFeedCheckDelay(live_vms_, random_);
  }

  void CheckFeeds() {
    const auto unconfirmed = std::make_shared<int>(2);
    const auto confirm = [this, unconfirmed] {
      if (--*unconfirmed == 0) {
        delegate_.SendFeedConfirmation(
            {{},
             routes_.Get()->version,
             endpoints_version_,
             std::min(config_watch_.GetVersion(), endpoint_watch_.GetVersion()),
             delegate_.Now() - *GetConfirmedAt()});
      }
    };
    config_watch_.Check(confirm);
    endpoint_watch_.Check(confirm);
  }

  void ApplyConfig(const StoredRow& row, std::string_view source) {
    RouteTable table;
    Findings findings;
    C::ParseRoutes(row.value, table, findings);
    if (!findings.IsEmpty()) {
      LogEvent(Event::kConfigRejected, {{"findings", findings.FormatLines()}});
      return;
    }
    const size_t n = table.routes.size();
    const uint64_t version = table.version;
    const std::string ignored = table.ignored.FormatLines();
    if (!routes_.ApplyIfNewer(std::move(table))) {
      return;
    }
    config_row_ = row;
    config_row_.value = C::HideKeys(row.value);
    LogEvent(Event::kConfigInForce, {{"version", std::to_string(version)},
                                     {"routes", std::to_string(n)},
                                     {"source", std::string(source)},
                                     {"ignored", ignored}});
    Publish();
  }

  bool ApplyEndpointRow(const StoredRow& row,
                        std::string_view source,
                        ChangeTime changed) {
    const EndpointId id{row.key};
    endpoints_version_ = std::max(endpoints_version_, row.version);
    if (row.removed) {
      endpoint_rows_.erase(row.key);
      const EndpointEntry* entry = endpoints_.Find(id);
      if (entry == nullptr) {
        return false;
      }
      LogEvent(Event::kDirectoryChanged, {{"endpoint", row.key},
                                          {"service", entry->service.value},
                                          {"state", "vanished"},
                                          {"role", ""},
                                          {"source", std::string(source)},
                                          {"drain_ms", "none"}});
      endpoints_.MarkRemoved(id, row.version, delegate_.Now());
      ScheduleSweep();
      return false;
    }
    VersionedEntry versioned;
    versioned.row_version = row.version;
    Findings findings;
    C::ParseEndpoint(row.key, row.value, versioned.entry, findings);
    if (!findings.IsEmpty()) {
      LogEvent(Event::kDirectoryEntryRejected,
               {{"entry", row.key}, {"findings", findings.FormatLines()}});
      return false;
    }
    if (endpoints_.IsOutdated(versioned)) {
      return false;
    }
    endpoint_rows_[row.key] = row;
    if (!endpoints_.Put(versioned, changed)) {
      return false;
    }
    const EndpointEntry& entry = *endpoints_.Find(id);
    LogEvent(Event::kDirectoryChanged,
             {{"endpoint", entry.id.value},
              {"service", entry.service.value},
              {"state", entry.draining ? "draining" : "ready"},
              {"role", entry.claims_primary ? "primary" : "replica"},
              {"source", std::string(source)},
              {"drain_ms", FormatAge(entry.draining_since)}});
    return true;
  }

  bool RecordDrain(const EndpointId& id, uint64_t started_at_ms, TimePoint at) {
    if (!endpoints_.RecordDrain(id, static_cast<int64_t>(started_at_ms), at)) {
      return false;
    }
    LogEvent(Event::kDrainDated,
             {{"endpoint", id.value}, {"drain_ms", FormatAge(at)}});
    return true;
  }

  void HandleEndpointListing(std::span<const StoredRow> rows,
                             uint64_t version,
                             std::string_view source,
                             ChangeTime changed_at) {
    std::map<std::string, StoredRow> known = endpoint_rows_;
    bool changed = false;
    for (const StoredRow& it : rows) {
      changed = ApplyEndpointRow(it, source, changed_at) || changed;
      known.erase(it.key);
    }
    for (auto& [key, row] : known) {
      if (row.version > version) {
        // Added by a change after the listing.
        continue;
      }
      row.removed = true;
      row.version = std::max(row.version, version);
      ApplyEndpointRow(row, source, changed_at);
    }
    for (const auto& [id, drain] : std::exchange(early_drains_, {})) {
      changed = RecordDrain(id, drain.started_at_ms, drain.since) || changed;
    }
    if (changed) {
      PublishEndpoints();
    }
  }

  void ScheduleSweep() {
    delegate_.After(EndpointRegistry::kRemovalGracePeriod, [this] { Sweep(); });
    Sweep();
  }

  void Sweep() {
    const TimePoint now = delegate_.Now();
    if (store_lost_) {
      // Entries may expire while the store is unavailable. Whether their
      // endpoints still exist is known only after it has recovered.
      endpoints_.ExtendGracePeriods(now);
    }
    if (!endpoints_.Sweep(now).empty()) {
      PublishEndpoints();
    }
  }

  void PublishEndpoints() {
    endpoints_changed_at_ = delegate_.Now();
    Publish();
  }

  void Publish() {
    auto view = std::make_shared<FleetView>();
    view->routes = routes_.Get();
    view->endpoints = endpoints_.List();
    view->endpoints_version = endpoints_version_;
    view->endpoints_changed_at = endpoints_changed_at_;
    view->live_vms = live_vms_;
    // A VM that has heard of few others would choose holders of its own.
    const bool knows_holders = 2 * holders_.CountCandidates() >= live_vms_;
    for (const EndpointEntry& it : view->endpoints) {
      const auto rules = view->routes->services.find(it.service);
      if (knows_holders && rules != view->routes->services.end() &&
          NeedsHolders(rules->second.max_connections, live_vms_,
                       view->routes->teams != nullptr)) {
        view->holders[it.id] = holders_.Find(it);
      }
    }
    delegate_.Publish(std::move(view));
  }

  /** When another VM received the report that an endpoint is draining. */
  struct ReportedDrain {
    uint64_t started_at_ms = 0;
    TimePoint since = TimePoint::max();
  };

  S& store_;
  D& delegate_;
  ProcessRandom random_;
  HolderTable holders_;
  ActiveRouteTable routes_;
  EndpointRegistry endpoints_;
  StoredRow config_row_;
  std::map<std::string, StoredRow> endpoint_rows_;
  /** Drains that other VMs told of before the first listing. */
  std::map<EndpointId, ReportedDrain> early_drains_;
  uint64_t endpoints_version_ = 0;
  TimePoint endpoints_changed_at_;
  uint32_t live_vms_ = 1;
  TableWatch<S, FleetControl> config_watch_;
  TableWatch<S, FleetControl> endpoint_watch_;
  /** Time since the latest confirmed question at which this VM asks. */
  Duration feed_check_delay_ = kFeedCheckInterval;
  bool store_lost_ = false;
  /** Start of the latest outage of the store; at first, the start of this
      process. */
  TimePoint lost_at_;
  /** End of the latest outage of the store. */
  TimePoint regained_at_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FLEET_FLEET_CONTROL_H_
