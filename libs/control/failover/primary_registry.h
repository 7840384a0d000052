#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REGISTRY_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REGISTRY_H_

#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** Which endpoint leads each service, as the control thread knows: from proofs
    on connections of this VM, from orders, and from what endpoints say. */
class PrimaryRegistry {
 public:
  /** An ordered primary that has proven nothing by then has failed to lead. */
  static constexpr Duration kConfirmationTimeout =
      std::chrono::milliseconds(2000);
  /** A primary that the directory lists no more is gone after this time: its
      successor's first report may arrive a little later than its own end. */
  static constexpr Duration kDelistedGracePeriod =
      std::chrono::milliseconds(300);

  /** What is record of one service's primary. */
  struct PrimaryState {
    EndpointId endpoint;
    /** It leads, as it has proven or said. */
    bool confirmed = false;
    /** The directory lists it no more. */
    bool gone = false;
    /** It was ordered to lead and has not. */
    bool promotion_failed = false;
  };

  /** Takes up the endpoints in use. */
  void Apply(std::span<const EndpointEntry> endpoints, TimePoint now);
  /** An endpoint has proven that it leads. */
  void RecordConfirmed(const ServiceId& service,
                       const EndpointId& endpoint,
                       Term term);
  /** An endpoint was ordered to lead.

      @param service        its service
      @param endpoint       the endpoint
      @param fencing_token  of the order; lower ones are ignored, the holder
                            of one may order another endpoint later
      @param now            the present moment
      @returns              true if that is news
  */
  bool RecordPromotion(const ServiceId& service,
                       const EndpointId& endpoint,
                       uint64_t fencing_token,
                       TimePoint now);

  /** @param endpoint  any
      @returns          true if it is record as a primary */
  bool IsPrimary(const EndpointId& endpoint) const;
  /** @returns the leaders that are record, by service */
  std::vector<std::pair<ServiceId, EndpointId>> List() const;
  /** @param service  any
      @param now      the present moment
      @returns         its primary, or none if none was ever record */
  std::optional<PrimaryState> Get(const ServiceId& service,
                                  TimePoint now) const;

 private:
  struct Record {
    EndpointId endpoint;
    Term term;
    /** It leads, as it has proven or said. */
    bool confirmed = false;
    std::optional<TimePoint> promotion_ordered_at;
    uint64_t promotion_token = 0;
    /** The endpoint of the last order; repeats of it are no news. */
    EndpointId promotion_endpoint;
    std::optional<TimePoint> missing_since;
  };

  std::map<ServiceId, Record> primaries_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REGISTRY_H_
