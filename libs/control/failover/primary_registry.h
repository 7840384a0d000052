#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REGISTRY_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** Tracks the primary of each service for the control thread.

    The sources are confirmations on connections of this VM, promotions that
    this VM or a peer ordered, and the roles that endpoints report in the
    directory.
*/
class PrimaryRegistry {
 public:
  /** A promotion counts as failed if the endpoint is not confirmed as primary
      within this time after the order. */
  static constexpr Duration kConfirmationTimeout =
      std::chrono::milliseconds(2000);
  /** A primary that is missing from the directory counts as gone after this
      time. The first report of its successor may arrive a little after the
      primary's own removal. */
  static constexpr Duration kDelistedGracePeriod =
      std::chrono::milliseconds(300);
  /** The same for a primary that this VM has never seen in the directory. Its
      entry may have expired in an outage of the store. */
  static constexpr Duration kUnseenGracePeriod =
      EndpointRegistry::kRemovalGracePeriod;

  /** State of one service's primary. */
  struct PrimaryState {
    EndpointId endpoint;
    /** The endpoint acted as primary on a connection, or reports that role. */
    bool confirmed = false;
    /** The directory has not listed it for its grace period. */
    bool gone = false;
    /** Its promotion was ordered and not confirmed in time. */
    bool promotion_failed = false;
    /** It reports that it is a replica. For kConfirmationTimeout, no endpoint
        has reported the role of the primary, and no promotion was ordered. */
    bool demoted = false;
  };

  /** The endpoint that was last known to act as primary. */
  struct ConfirmedPrimary {
    EndpointId endpoint;
    /** Term in which it acted on a connection; 0 if only the directory reported
        its role. */
    Term term;
  };

  /** Applies a listing of the endpoints in use.

      A reported primary replaces the recorded one only if that one is missing
      from the directory, and not if its report is older than the proof of the
      recorded one: an endpoint that has crashed does not withdraw its report.

      @param endpoints  every endpoint in use
      @param now        the current time
  */
  void Apply(std::span<const EndpointEntry> endpoints, TimePoint now);
  /** Records that an endpoint acted as primary on a connection.

      @param service   its service
      @param endpoint  the endpoint
      @param term      term of the confirmation; older terms are ignored
  */
  void RecordConfirmed(const ServiceId& service,
                       const EndpointId& endpoint,
                       Term term);
  /** Records that an endpoint was demoted; ignored unless it is the recorded
      primary, which then has to be confirmed anew.

      @param service   its service
      @param endpoint  the endpoint
  */
  void RecordDemoted(const ServiceId& service, const EndpointId& endpoint);
  /** Records that a promotion was ordered.

      @param service        its service
      @param endpoint       the endpoint to promote
      @param fencing_token  token of the order. Orders with a lower token are
                            ignored; under the same token, the holder may order
                            another endpoint later.
      @param now            the current time
      @returns              true if the recorded primary changed
  */
  bool RecordPromotion(const ServiceId& service,
                       const EndpointId& endpoint,
                       uint64_t fencing_token,
                       TimePoint now);

  /** Records the primary that VMs knew before this one started; ignored if this
      VM knows a primary of the service.

      @param service   its service
      @param endpoint  the endpoint
      @param term      term in which it was confirmed
      @param now       the current time
      @returns         true if it was recorded
  */
  bool Restore(const ServiceId& service,
               const EndpointId& endpoint,
               Term term,
               TimePoint now);

  /** @param endpoint  the endpoint to look up
      @returns          true if it is the recorded primary of a service */
  bool IsPrimary(const EndpointId& endpoint) const;
  /** @param endpoint  the endpoint to look up
      @returns          true if it was the latest confirmed primary of a
                        service, even if another promotion was ordered since */
  bool IsLatestConfirmed(const EndpointId& endpoint) const;
  /** @param service  the service to look up
      @returns        the endpoint that was confirmed as its primary last, even
                      if another promotion was ordered since; none if there was
                      no confirmation */
  std::optional<ConfirmedPrimary> GetLatestConfirmed(
      const ServiceId& service) const;
  /** @returns the recorded primaries, ordered by service */
  std::vector<std::pair<ServiceId, EndpointId>> List() const;
  /** @param service  the service to look up
      @param now      the current time
      @returns        its primary, or none if no primary was ever recorded */
  std::optional<PrimaryState> Get(const ServiceId& service,
                                  TimePoint now) const;

 private:
  /** Tells the reports of an endpoint apart. */
  struct RoleReport {
    int64_t started_at_ms = 0;
    std::optional<uint64_t> number;

    bool operator==(const RoleReport&) const = default;
  };
  struct Record {
    EndpointId endpoint;
    ConfirmedPrimary latest_confirmed;
    Term term;
    /** @see PrimaryState::confirmed */
    bool confirmed = false;
    /** Time of the order for an endpoint that is not confirmed since. */
    std::optional<TimePoint> promotion_ordered_at;
    /** Time of the latest order for any endpoint. */
    std::optional<TimePoint> latest_order_at;
    uint64_t promotion_token = 0;
    /** Endpoint of the latest order; a repeated order changes nothing. */
    EndpointId promotion_endpoint;
    std::optional<TimePoint> missing_since;
    /** It reported the role of the primary until it was missing. */
    bool led_until_missing = false;
    /** Reports of the role in the latest listing. */
    std::map<EndpointId, RoleReport> claims;
    /** Those that were listed before the newest term was proved. */
    std::map<EndpointId, RoleReport> outdated_claims;
    /** Time after which it counts as gone if it is missing. */
    Duration delisted_grace_period = kDelistedGracePeriod;
    /** Endpoint that reported the role of the primary last. */
    EndpointId latest_reported;
    /** Time since which no endpoint reports it. */
    std::optional<TimePoint> unreported_since;
  };

  static RoleReport GetReport(const EndpointEntry& entry) {
    return {entry.started_at_ms, entry.report_number};
  }
  /** @returns whether the endpoint has reported nothing since the missing
               primary, which led to the end, proved a newer term */
  static bool IsOutdatedClaim(const Record& record, const EndpointEntry& entry);
  /** Records that the directory reports the role of the recorded primary. */
  static void RecordReportedRole(Record& record);

  std::map<ServiceId, Record> primaries_;
  /** Time since which the endpoints of a service without a recorded primary are
      listed. */
  std::map<ServiceId, TimePoint> leaderless_since_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REGISTRY_H_
