#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_DEPARTURE_TRACKER_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_DEPARTURE_TRACKER_H_

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "control/peers/departure_notice.h"
#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** Tracks endpoints that have left the directory and may have been the only
    replica that held an acknowledged commit.

    An endpoint that leaves takes its log along, so the replicas that remain
    prove nothing about the commits that it held. A departure is accounted for
    once a remaining replica holds the log that the primary had after it. For a
    former primary, the log that its successor began with is enough: an endpoint
    reports at once that it has become a replica, so one that reported the role
    of the primary until it left has acknowledged nothing for the successor.

    @see DepartureAudit
*/
class DepartureTracker {
 public:
  /** Time for which a departure is announced after it was accounted for. */
  static constexpr Duration kNoticeRetention = std::chrono::seconds(4);
  /** Time for which a departure that was accounted for is remembered. It covers
      peers that were partitioned while it was announced. */
  static constexpr Duration kRetention = std::chrono::seconds(60);

  /** Applies a listing of the endpoints in use. Endpoints that were listed
      before and are not any more have left; one that is listed again has come
      back with its log.

      @param endpoints  every endpoint in use
      @param now        the current time
  */
  void Apply(std::span<const EndpointEntry> endpoints, TimePoint now);

  /** Drops what is known of services that the configuration has removed.

      @param services  the services that are left
  */
  void RetainServices(std::span<const ServiceId> services);

  /** Applies what a peer knows about a departure.

      @param notice  the peer's notice; ignored if it reports the departure of
                     an endpoint that is listed here
      @param now     the current time
      @returns       true if a departure is newly known or accounted for
  */
  bool ApplyNotice(const DepartureNotice& notice, TimePoint now);

  /** Records that the commits acknowledged by departed endpoints are held by
      another replica.

      @param endpoints  the departed endpoints
      @param now        the current time
  */
  void RecordAccounted(std::span<const EndpointId> endpoints, TimePoint now);

  /** @param endpoint  a departed endpoint
      @returns          whether it reported the role of the primary until it
                        left; false if this VM has not seen it leave */
  bool LedUntilDeparture(const EndpointId& endpoint) const;

  /** @param service  the service to look up
      @returns         its departed endpoints that are not accounted for */
  std::vector<EndpointId> ListUnaccounted(const ServiceId& service) const;

  /** @param service  the service to look up
      @param since    a time
      @returns        its departed endpoints that are not accounted for, or were
                      not at that time */
  std::vector<EndpointId> ListUnaccountedSince(const ServiceId& service,
                                               TimePoint since) const;

  /** @param endpoint  an endpoint
      @returns         when this VM learnt that it has left; none if it has not,
                       as far as this VM knows */
  std::optional<TimePoint> GetDepartureTime(const EndpointId& endpoint) const;

  /** @param service   the service to look up
      @param recorded  endpoints of the service that were recorded earlier
      @returns         ordered by id, its listed endpoints, the departed ones
                       that are not accounted for, and the recorded ones of
                       which nothing is known here */
  std::vector<EndpointId> ListMembers(
      const ServiceId& service,
      std::span<const EndpointId> recorded) const;

  /** @param now  the current time
      @returns    what peers have to know: departures that are not accounted
                  for, and those that were within kNoticeRetention */
  std::vector<DepartureNotice> ListNotices(TimePoint now) const;

 private:
  struct Departure {
    ServiceId service;
    std::optional<TimePoint> accounted_at;
    /** @see LedUntilDeparture() */
    bool led_until_departure = false;
    /** @see GetDepartureTime() */
    TimePoint departed_at;
  };

  struct Listed {
    ServiceId service;
    bool claims_primary = false;
  };

  std::map<EndpointId, Listed> listed_;
  std::map<EndpointId, Departure> departures_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_DEPARTURE_TRACKER_H_
